/**
 * Pure decisions of the request path: route match, balancing, admission, retries, request ids. No
 * threads, sockets, clocks or random sources; callers pass the time in.
 */
package io.umberpath.traffic;
