/** Pools of connections to other nodes and to the back end beside this node. */
package io.umberpath.node.proxy.pool;
