package io.umberpath.node.proxy.inbound;

/** Receives connections that ended with unanswered requests. Thread-safe; must not block. */
@FunctionalInterface
public interface ConnectionLog {
  /** Ignores all events. */
  ConnectionLog NONE = unanswered -> {};

  /** Called when a connection has ended with requests that were read from it but not answered. */
  void ended(UnansweredRequests unanswered);
}
