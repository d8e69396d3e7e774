package io.umberpath.node.proxy.pool;

import io.umberpath.model.PeerAddress;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;

/** Opens client connections. */
@FunctionalInterface
public interface Connector {
  /** Opens one; the handler is called once, from any thread, possibly before this returns. */
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  void connect(PeerAddress address, CompletionHandler<Connection> handler);
}
