/** Requests that end the back ends that run them: how they are known again, and held back. */
package io.umberpath.traffic.quarantine;
