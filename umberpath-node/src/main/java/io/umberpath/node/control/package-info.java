/** Runs the control side of one node: its thread, its inputs and what it asks for. */
package io.umberpath.node.control;
