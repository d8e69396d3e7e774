/**
 * Side-effect-free routing decisions under a configuration from an external store: route match,
 * weighted split, choice of a backend, retries.
 */
package io.umberpath.traffic.routing;
