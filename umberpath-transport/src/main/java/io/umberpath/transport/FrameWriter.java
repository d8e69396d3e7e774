package io.umberpath.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Writes queued frames to connections in batches, with at most one write in flight per connection.
 * Thread-safe; uses the lock of the {@link PeerTable}.
 */
final class FrameWriter {
  private static final int MAX_BATCH_BYTES = 64 << 10;

  private final PeerTable table;
  private final TransportCounters counters;
  private final LongSupplier clockMillis;

  FrameWriter(PeerTable table, TransportCounters counters, LongSupplier clockMillis) {
    this.table = table;
    this.counters = counters;
    this.clockMillis = clockMillis;
  }

  /** Writes the queued frames unless a write is in flight; call without holding the lock. */
  void flush(PeerConnection connection) {
    if (connection.flushRequests.getAndIncrement() != 0) {
      return;
    }
    do {
      List<byte[]> batch = takeBatch(connection);
      if (!batch.isEmpty()) {
        connection.socket.write(batch, () -> onWritten(connection, batch));
      }
    } while (connection.flushRequests.decrementAndGet() != 0);
  }

  private List<byte[]> takeBatch(PeerConnection connection) {
    synchronized (table.lock) {
      if (connection.closed || connection.socket == null || connection.writeInProgress) {
        return List.of();
      }
      List<byte[]> batch = nextFrames(connection);
      if (!batch.isEmpty()) {
        connection.writeInProgress = true;
        connection.lastWriteMillis = clockMillis.getAsLong();
      }
      return batch;
    }
  }

  private List<byte[]> nextFrames(PeerConnection connection) {
    List<byte[]> batch = new ArrayList<>(connection.controlFrames);
    connection.controlFrames.clear();
    if (!batch.isEmpty() || !connection.isUsable()) {
      return batch;
    }
    Peer peer = table.getOrCreatePeer(connection.remoteHello.listenAddress());
    if (peer.active != connection) {
      return batch;
    }
    batch.addAll(peer.queue.poll(MAX_BATCH_BYTES));
    if (batch.isEmpty() && peer.disconnectWhenEmpty) {
      peer.disconnectWhenEmpty = false;
      peer.active = null;
      connection.queueGoodbye();
      batch.add(connection.controlFrames.remove());
    }
    return batch;
  }

  private void onWritten(PeerConnection connection, List<byte[]> batch) {
    long bytes = batch.stream().mapToLong(frame -> frame.length).sum();
    long messages = batch.stream().filter(Frame::isMessage).count();
    counters.addSent(bytes, messages);
    boolean goodbyesExchanged;
    synchronized (table.lock) {
      connection.writeInProgress = false;
      connection.lastWriteMillis = clockMillis.getAsLong();
      connection.goodbyeWritten = connection.goodbyeQueued && connection.controlFrames.isEmpty();
      goodbyesExchanged = connection.goodbyeWritten && connection.goodbyeReceived;
    }
    if (goodbyesExchanged) {
      connection.socket.close();
      return;
    }
    flush(connection);
  }
}
