/** Detection and quarantine of requests that crash the backends that run them. */
package io.umberpath.traffic.quarantine;
