/**
 * The process {@code umberpath node}: starts the control side, the proxy, the operators' port and
 * the admin port in this order, and closes them in the opposite one.
 */
package io.umberpath.node;
