/** Inbound requests from clients and other nodes: connections, exchanges and responses. */
package io.umberpath.node.proxy.inbound;
