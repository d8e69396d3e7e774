package io.umberpath.node.proxy.inbound;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;

/**
 * What a peer sent that was dropped, since its connection's output had ended. The connection's lock
 * guards it.
 */
final class DroppedInput {
  private long endedNanos;
  private long firstNanos;
  private long bytes;

  /** The output ends. */
  void outputEnds() {
    endedNanos = System.nanoTime();
  }

  /** Bytes have been dropped. */
  void add(int count) {
    if (bytes == 0) {
      firstNanos = System.nanoTime();
    }
    bytes += count;
  }

  /** What was read and not begun, in all. */
  UnansweredRequests.Input input(Connection<?> connection, boolean isHeadUnbegun) {
    long afterNanos = bytes == 0 ? 0 : firstNanos - endedNanos;
    int port = connection.getPeerAddress() instanceof InetSocketAddress peer ? peer.getPort() : 0;
    return new UnansweredRequests.Input(
        isHeadUnbegun, bytes, TimeUnit.NANOSECONDS.toMillis(afterNanos), port);
  }
}
