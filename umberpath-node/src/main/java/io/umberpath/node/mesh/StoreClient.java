package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreRequest;
import io.umberpath.control.store.StoreResponse;

/** Calls the external store. Used by one thread at a time. */
public interface StoreClient extends AutoCloseable {
  /** Makes a call and waits for the response, little longer than the call's own wait at most. */
  StoreResponse call(StoreRequest request);

  /** Aborts a waiting call. Thread-safe. */
  @Override
  void close();
}
