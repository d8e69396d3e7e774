package io.umberpath.node.proxy.pool;

import io.umberpath.model.PeerAddress;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;

/** Opens connections to an address. */
@FunctionalInterface
public interface Connector {
  /**
   * Opens a connection. The handler is called once, on any thread, possibly before this method
   * returns.
   */
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  void connect(PeerAddress address, CompletionHandler<Connection> handler);
}
