/** Pools of connections to other nodes and to the local backend. */
package io.umberpath.node.proxy.pool;
