package io.umberpath.control;

/** A message between the control sides of two nodes. */
public interface ControlMessage {}
