/** Requests from callers and other nodes: their connections, their exchanges and their answers. */
package io.umberpath.node.proxy.inbound;
