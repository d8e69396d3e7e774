package io.umberpath.lab.simulate;

import io.umberpath.control.ControlMessage;

/** Tells how many bytes a message takes between two nodes, framing included. */
interface MessageSizer {
  int sizeBytes(ControlMessage message);
}
