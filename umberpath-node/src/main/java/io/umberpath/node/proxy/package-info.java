/**
 * The request path of a node: a listener for callers, a listener for other nodes, and the wiring
 * between them and the decisions of the traffic module.
 */
package io.umberpath.node.proxy;
