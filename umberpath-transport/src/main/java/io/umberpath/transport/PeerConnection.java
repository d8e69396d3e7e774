package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One TCP connection, from the attempt to its end. Fields are guarded by {@link PeerTable#lock},
 * except {@code decoder}, which belongs to the thread that reads, and {@code drains}.
 */
final class PeerConnection {
  /** The address dialled; empty for an accepted connection. */
  final Optional<PeerAddress> dialled;

  final FrameDecoder decoder;

  /** Hello, goodbye and ping frames that wait to be written, ahead of messages. */
  final ArrayDeque<byte[]> controlFrames = new ArrayDeque<>();

  /** Counts requests to write, so that one thread at a time does it, without recursion. */
  final AtomicInteger drains = new AtomicInteger();

  /** The socket; null until the attempt has succeeded. */
  Socket socket;

  /** The peer's hello; null until it has arrived. */
  Hello remote;

  long openedAt;
  long receivedAt;
  long writtenAt;
  boolean writing;
  boolean goodbyeQueued;
  boolean goodbyeWritten;
  boolean goodbyeReceived;
  boolean closed;

  PeerConnection(Optional<PeerAddress> dialled, int maxHelloBytes, long now) {
    this.dialled = dialled;
    this.decoder = new FrameDecoder(maxHelloBytes);
    this.openedAt = now;
    this.receivedAt = now;
    this.writtenAt = now;
  }

  boolean isOutbound() {
    return dialled.isPresent();
  }

  boolean isEstablished() {
    return remote != null;
  }

  /** Whether both sides may still send messages on it. */
  boolean isUsable() {
    return remote != null && !closed && !goodbyeQueued && !goodbyeReceived;
  }

  /** Queues the last frame of this side. */
  void queueGoodbye() {
    goodbyeQueued = true;
    controlFrames.add(Frame.encode(FrameKind.GOODBYE));
  }

  /** Whether a ping is due, so that the other side does not take this one for gone. */
  boolean isQuiet(long now, long pingMillis) {
    return isUsable() && !writing && controlFrames.isEmpty() && now - writtenAt >= pingMillis;
  }

  /** The timeout that has passed, if any. */
  Optional<TransportError> overdue(long now, TransportSettings.Timeouts timeouts) {
    if (closed) {
      return Optional.empty();
    }
    if (!isEstablished()) {
      return overdue(TransportFault.CONNECT_TIMEOUT, now - openedAt, timeouts.connectMillis());
    }
    if (writing && now - writtenAt >= timeouts.stallMillis()) {
      return overdue(TransportFault.STALLED_PEER, now - writtenAt, timeouts.stallMillis());
    }
    return overdue(TransportFault.SILENT_PEER, now - receivedAt, timeouts.silenceMillis());
  }

  private static Optional<TransportError> overdue(
      TransportFault fault, long passedMillis, long limitMillis) {
    if (passedMillis < limitMillis) {
      return Optional.empty();
    }
    return Optional.of(new TransportError(fault, "more than " + limitMillis + " ms"));
  }

  /** For logs: the best name known for the other side. */
  String describe() {
    if (remote != null) {
      return remote.listening().toString();
    }
    return dialled.map(PeerAddress::toString).orElse("unnamed");
  }

  /** What the owner needs of a TCP connection. */
  interface Socket {
    /** Writes and reports when the operating system or TLS has taken all of it. */
    void write(List<byte[]> frames, Runnable onWritten);

    /** Closes after what was written. */
    void close();

    /** Closes at once. */
    void abort();
  }
}
