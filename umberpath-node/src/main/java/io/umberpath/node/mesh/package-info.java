/**
 * A mesh node whose configuration and backends come from an external ordered store: it follows the
 * store, exchanges state with other nodes, and proxies requests.
 */
package io.umberpath.node.mesh;
