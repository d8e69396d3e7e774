/** Upstream side of the proxy: connections to nodes and backends, and the attempts sent on them. */
package io.umberpath.node.proxy.origin;
