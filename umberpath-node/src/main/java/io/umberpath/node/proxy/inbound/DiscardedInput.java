package io.umberpath.node.proxy.inbound;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;

/**
 * Counts the input that was discarded because the connection's output had ended. Guarded by the
 * connection's lock.
 */
final class DiscardedInput {
  private long endedNanos;
  private long firstNanos;
  private long bytes;

  /** Records that the output ends. */
  void recordOutputEnd() {
    endedNanos = System.nanoTime();
  }

  /** Records discarded bytes. */
  void add(int count) {
    if (bytes == 0) {
      firstNanos = System.nanoTime();
    }
    bytes += count;
  }

  /** A summary of all input that belongs to no begun request. */
  UnansweredRequests.Input summarize(Connection<?> connection, boolean isHeadUnbegun) {
    long afterNanos = bytes == 0 ? 0 : firstNanos - endedNanos;
    int port = connection.getPeerAddress() instanceof InetSocketAddress peer ? peer.getPort() : 0;
    return new UnansweredRequests.Input(
        isHeadUnbegun, bytes, TimeUnit.NANOSECONDS.toMillis(afterNanos), port);
  }
}
