/**
 * Decision logic of agreement and configuration delivery: replicated register, roster, relay tree,
 * admission by tier and choice of platform readers. It uses no threads, sockets, clocks or random
 * sources, so that the node and the lab run the same code.
 */
package io.umberpath.control;
