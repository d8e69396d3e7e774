package io.umberpath.node.proxy;

import io.umberpath.node.proxy.inbound.InboundFilter;
import io.umberpath.node.proxy.origin.OwnTurn;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** An open listener whose connections a filter takes. */
public final class Listener {
  /** Rounds of accepting after which it closes though connections still come. */
  private static final int MAX_ROUNDS = 200;

  private final TCPNIOServerConnection server;
  private final InboundFilter filter;
  private final AtomicBoolean isClosing = new AtomicBoolean();

  Listener(TCPNIOServerConnection server, InboundFilter filter) {
    this.server = server;
    this.filter = filter;
  }

  /** The port that it is bound to. */
  public int port() {
    return ((InetSocketAddress) server.getLocalAddress()).getPort();
  }

  /**
   * Closes soon: once a round of accepting has found no connection that waits. Those that wait when
   * a listener closes are reset.
   */
  public void closeWhenEmpty() {
    if (isClosing.compareAndSet(false, true)) {
      checkAfterRound(filter.accepted(), MAX_ROUNDS);
    }
  }

  private void checkAfterRound(long acceptedBefore, int roundsLeft) {
    OwnTurn.run(server, () -> OwnTurn.run(server, () -> closeOrRepeat(acceptedBefore, roundsLeft)));
  }

  private void closeOrRepeat(long acceptedBefore, int roundsLeft) {
    long accepted = filter.accepted();
    if (accepted == acceptedBefore || roundsLeft == 0) {
      server.closeSilently();
    } else {
      checkAfterRound(accepted, roundsLeft - 1);
    }
  }
}
