/**
 * The request path of a node: a listener for clients, a listener for other nodes, and the
 * connection to the decisions of the traffic module.
 */
package io.umberpath.node.proxy;
