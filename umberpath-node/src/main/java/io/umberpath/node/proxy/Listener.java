package io.umberpath.node.proxy;

import io.umberpath.node.proxy.inbound.InboundFilter;
import io.umberpath.node.proxy.origin.SelectorTasks;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** A listening socket whose connections are handled by an {@link InboundFilter}. */
public final class Listener {
  /** Accept rounds after which the socket is closed even if connections still arrive. */
  private static final int MAX_ROUNDS = 200;

  private final TCPNIOServerConnection server;
  private final InboundFilter filter;
  private final AtomicBoolean isClosing = new AtomicBoolean();

  Listener(TCPNIOServerConnection server, InboundFilter filter) {
    this.server = server;
    this.filter = filter;
  }

  /** The port it is bound to. */
  public int port() {
    return ((InetSocketAddress) server.getLocalAddress()).getPort();
  }

  /**
   * Closes the socket once an accept round has found no waiting connection: connections that wait
   * in the accept queue when the socket is closed are reset.
   */
  public void closeWhenEmpty() {
    if (isClosing.compareAndSet(false, true)) {
      checkAfterRound(filter.accepted(), MAX_ROUNDS);
    }
  }

  private void checkAfterRound(long acceptedBefore, int roundsLeft) {
    SelectorTasks.runDeferred(
        server,
        () ->
            SelectorTasks.runDeferred(server, () -> closeOrCheckAgain(acceptedBefore, roundsLeft)));
  }

  private void closeOrCheckAgain(long acceptedBefore, int roundsLeft) {
    long accepted = filter.accepted();
    if (accepted == acceptedBefore || roundsLeft == 0) {
      server.closeSilently();
    } else {
      checkAfterRound(accepted, roundsLeft - 1);
    }
  }
}
