/** Runs the control plane of one node: its thread, its input queue and its outputs. */
package io.umberpath.node.control;
