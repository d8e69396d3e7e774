package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A TCP connection from the connection attempt until it is closed. Fields are guarded by {@link
 * PeerTable#lock}, except {@code decoder}, which is used by the reading thread only, and {@code
 * flushRequests}.
 */
final class PeerConnection {
  /** Address that was dialled; empty for an accepted connection. */
  final Optional<PeerAddress> dialledAddress;

  final FrameDecoder decoder;

  /** Queued hello, goodbye and ping frames; written before messages. */
  final ArrayDeque<byte[]> controlFrames = new ArrayDeque<>();

  /**
   * Number of pending flush requests; ensures that one thread flushes at a time, without recursion.
   */
  final AtomicInteger flushRequests = new AtomicInteger();

  /** Socket; null until the connection attempt has succeeded. */
  Socket socket;

  /** Hello of the peer; null until it has been received. */
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

  /** Whether both sides may still send messages on this connection. */
  boolean isUsable() {
    return remoteHello != null && !closed && !goodbyeQueued && !goodbyeReceived;
  }

  /** Queues the goodbye frame, after which this side sends no more messages. */
  void queueGoodbye() {
    goodbyeQueued = true;
    controlFrames.add(Frame.encode(FrameKind.GOODBYE));
  }

  /** Whether a ping is due to keep the peer's silence timeout from expiring. */
  boolean needsPing(long nowMillis, long pingIntervalMillis) {
    return isUsable()
        && !writeInProgress
        && controlFrames.isEmpty()
        && nowMillis - lastWriteMillis >= pingIntervalMillis;
  }

  /** Returns a fault for the timeout that has expired, if any. */
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
    return Optional.of(new TransportError(fault, "exceeded timeout of " + limitMillis + " ms"));
  }

  /** Returns the peer's listening address or else the dialled address, for logs. */
  String describe() {
    if (remoteHello != null) {
      return remoteHello.listenAddress().toString();
    }
    return dialledAddress.map(PeerAddress::toString).orElse("unnamed");
  }

  /** Operations of the underlying TCP connection. */
  interface Socket {
    /**
     * Writes frames; runs {@code onWritten} once the operating system or TLS has accepted all
     * bytes.
     */
    void write(List<byte[]> frames, Runnable onWritten);

    /** Closes the connection after pending writes. */
    void close();

    /** Closes the connection immediately, discarding pending writes. */
    void abort();
  }
}
