package io.umberpath.node.proxy.pool;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.origin.OriginConnection;

/** Waits for a connection; exactly one method is called, once, without the pool's lock. */
public interface ConnectionWaiter {
  /** A connection is the waiter's own until released or abandoned. */
  void connected(OriginConnection connection);

  /** There is none, and nothing has been sent. */
  void notConnected(Verdict.Reason reason);
}
