/**
 * The process {@code umberpath node}: starts the control plane, the proxy, the operator server and
 * the admin server in this order, and closes them in reverse order.
 */
package io.umberpath.node;
