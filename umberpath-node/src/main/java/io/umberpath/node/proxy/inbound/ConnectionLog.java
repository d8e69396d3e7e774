package io.umberpath.node.proxy.inbound;

/** Hears of connections that ended with requests unanswered. Thread-safe; never waits. */
@FunctionalInterface
public interface ConnectionLog {
  /** Hears nothing. */
  ConnectionLog NONE = unanswered -> {};

  /** A connection has ended, and requests that were read from it have no answer. */
  void ended(UnansweredRequests unanswered);
}
