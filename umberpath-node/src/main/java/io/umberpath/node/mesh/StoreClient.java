package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreAnswer;
import io.umberpath.control.store.StoreCall;

/** Makes calls to the external store. One thread at a time. */
public interface StoreClient extends AutoCloseable {
  /** Makes a call and waits for its answer; never longer than the call's own wait and a little. */
  StoreAnswer call(StoreCall call);

  /** Ends a call that waits. Thread-safe. */
  @Override
  void close();
}
