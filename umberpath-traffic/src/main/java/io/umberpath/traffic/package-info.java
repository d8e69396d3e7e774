/**
 * Side-effect-free decisions of the request path: route match, load balancing, admission control,
 * retries. No threads, sockets, clocks or random sources; callers pass the time in.
 */
package io.umberpath.traffic;
