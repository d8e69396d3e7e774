package io.umberpath.node.proxy.pool;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.origin.OriginConnection;

/**
 * Callback for a requested connection. Exactly one method is called, once, and the pool's lock is
 * not held.
 */
public interface ConnectionWaiter {
  /** Called with a connection for exclusive use until it is released or abandoned. */
  void onConnected(OriginConnection connection);

  /** Called if no connection is available; nothing has been sent. */
  void onUnavailable(Verdict.Reason reason);
}
