/**
 * Pure decisions of agreement and delivery: register, roster, relay tree, admission by tier, reader
 * choice. No threads, sockets, clocks or random sources; the node and the lab drive the same code.
 */
package io.umberpath.control;
