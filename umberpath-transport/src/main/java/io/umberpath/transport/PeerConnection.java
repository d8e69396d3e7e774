package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One TCP connection, from the attempt to its end. Fields are guarded by {@link PeerTable#lock},
 * except {@code decoder}, which belongs to the thread that reads, and {@code flushRequests}.
 */
final class PeerConnection {
  /** The address dialled; empty for an accepted connection. */
  final Optional<PeerAddress> dialledAddress;

  final FrameDecoder decoder;

  /** Hello, goodbye and ping frames that wait to be written, ahead of messages. */
  final ArrayDeque<byte[]> controlFrames = new ArrayDeque<>();

  /** Counts requests to write, so that one thread at a time does it, without recursion. */
  final AtomicInteger flushRequests = new AtomicInteger();

  /** The socket; null until the attempt has succeeded. */
  Socket socket;

  /** The peer's hello; null until it has arrived. */
  Hello remoteHello;

  long openedMillis;
  long lastReceivedMillis;
  long lastWriteMillis;
  boolean writeInProgress;
  boolean goodbyeQueued;
  boolean goodbyeWritten;
  boolean goodbyeReceived;
  boolean closed;

  PeerConnection(Optional<PeerAddress> dialledAddress, int maxHelloBytes, long nowMillis) {
    this.dialledAddress = dialledAddress;
    this.decoder = new FrameDecoder(maxHelloBytes);
    this.openedMillis = nowMillis;
    this.lastReceivedMillis = nowMillis;
    this.lastWriteMillis = nowMillis;
  }

  boolean isOutbound() {
    return dialledAddress.isPresent();
  }

  boolean isEstablished() {
    return remoteHello != null;
  }

  /** Whether both sides may still send messages on it. */
  boolean isUsable() {
    return remoteHello != null && !closed && !goodbyeQueued && !goodbyeReceived;
  }

  /** Queues the last frame of this side. */
  void queueGoodbye() {
    goodbyeQueued = true;
    controlFrames.add(Frame.encode(FrameKind.GOODBYE));
  }

  /** Whether a ping is due, so that the other side does not take this one for gone. */
  boolean needsPing(long nowMillis, long pingIntervalMillis) {
    return isUsable()
        && !writeInProgress
        && controlFrames.isEmpty()
        && nowMillis - lastWriteMillis >= pingIntervalMillis;
  }

  /** The timeout that has passed, if any. */
  Optional<TransportError> findExpiredTimeout(long nowMillis, TransportSettings.Timeouts timeouts) {
    if (closed) {
      return Optional.empty();
    }
    if (!isEstablished()) {
      return findExpiredTimeout(
          TransportFault.CONNECT_TIMEOUT, nowMillis - openedMillis, timeouts.connectMillis());
    }
    if (writeInProgress && nowMillis - lastWriteMillis >= timeouts.stallMillis()) {
      return findExpiredTimeout(
          TransportFault.STALLED_PEER, nowMillis - lastWriteMillis, timeouts.stallMillis());
    }
    return findExpiredTimeout(
        TransportFault.SILENT_PEER, nowMillis - lastReceivedMillis, timeouts.silenceMillis());
  }

  private static Optional<TransportError> findExpiredTimeout(
      TransportFault fault, long elapsedMillis, long limitMillis) {
    if (elapsedMillis < limitMillis) {
      return Optional.empty();
    }
    return Optional.of(new TransportError(fault, "more than " + limitMillis + " ms"));
  }

  /** For logs: the best name known for the other side. */
  String describe() {
    if (remoteHello != null) {
      return remoteHello.listenAddress().toString();
    }
    return dialledAddress.map(PeerAddress::toString).orElse("unnamed");
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
