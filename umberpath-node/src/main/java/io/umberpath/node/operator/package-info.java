/**
 * The operators' gRPC port: authentication, limits, and one handler per kind of call over {@link
 * io.umberpath.node.control.ControlService}.
 */
package io.umberpath.node.operator;
