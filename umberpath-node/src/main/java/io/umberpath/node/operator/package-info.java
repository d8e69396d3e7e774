/**
 * The operators' gRPC API: authentication, call limits and one handler per group of calls, on top
 * of {@link io.umberpath.node.control.ControlService}.
 */
package io.umberpath.node.operator;
