package io.umberpath.transport;

/** How connections between nodes are protected. */
public sealed interface TransportSecurity {
  /** No protection; only loopback addresses may be listened on and connected to. */
  record PlainTextLoopback() implements TransportSecurity {}
}
