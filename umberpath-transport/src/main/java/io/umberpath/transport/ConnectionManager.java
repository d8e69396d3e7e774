package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Maintains one active connection per peer, regardless of which side dialled it, and a bounded send
 * queue per peer. When both sides dial at the same time, both switch to the connection dialled by
 * the smaller address and close the other after exchanging goodbye frames, so that no message is
 * lost. Thread-safe; calls listeners without holding the lock.
 */
final class ConnectionManager {
  private static final int PINGS_PER_SILENCE_TIMEOUT = 3;

  private final TransportSettings settings;
  private final Dialer dialer;
  private final PayloadReceiver receiver;
  private final TransportCounters counters;
  private final FaultReporter faultReporter;
  private final LongSupplier clockMillis;
  private final Handshake handshake;
  private final PeerTable table;
  private final FrameWriter writer;

  /** Starts outbound connection attempts. */
  interface Dialer {
    /**
     * Starts an attempt and reports its result to {@link #onConnected} or {@link #onConnectFailed},
     * possibly before this method returns.
     */
    void dial(PeerAddress peer, PeerConnection connection);
  }

  /** Receives message payloads and notifications about unreachable peers. */
  interface PayloadReceiver {
    /** Returns the error for which the connection is closed if the payload is rejected. */
    Optional<TransportError> onPayload(PeerAddress from, byte[] payload);

    void onUnreachable(PeerAddress peer);
  }

  ConnectionManager(
      TransportSettings settings,
      PeerAddress self,
      Dialer dialer,
      PayloadReceiver receiver,
      TransportCounters counters,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.dialer = dialer;
    this.receiver = receiver;
    this.counters = counters;
    this.faultReporter = new FaultReporter(counters);
    this.clockMillis = clockMillis;
    this.handshake = new Handshake(self, settings.incarnation());
    this.table = new PeerTable(settings, self);
    this.writer = new FrameWriter(table, counters, clockMillis);
  }

  /** Queues a frame for a peer and connects if needed; returns false if the queue is full. */
  boolean send(PeerAddress to, byte[] frame) {
    DeferredActions deferred = new DeferredActions();
    synchronized (table.lock) {
      if (table.closed) {
        return true;
      }
      Peer peer = table.getOrCreatePeer(to);
      if (!peer.queue.offer(frame)) {
        return false;
      }
      peer.disconnectWhenEmpty = false;
      flushOrConnect(peer, deferred);
    }
    deferred.run();
    return true;
  }

  /** Closes the connection to a peer once its send queue is empty. */
  void disconnect(PeerAddress address) {
    DeferredActions deferred = new DeferredActions();
    synchronized (table.lock) {
      Peer peer = table.peers.get(address);
      if (peer != null) {
        peer.disconnectWhenEmpty = true;
        flushOrConnect(peer, deferred);
      }
    }
    deferred.run();
  }

  /** Registers an accepted connection, or aborts it if the connection limit is reached. */
  Optional<PeerConnection> onAccepted(PeerConnection.Socket socket) {
    int limit = settings.limits().maxConnections();
    synchronized (table.lock) {
      if (!table.closed && table.connections.size() < limit) {
        PeerConnection connection =
            new PeerConnection(
                Optional.empty(), Handshake.MAX_HELLO_BYTES, clockMillis.getAsLong());
        connection.socket = socket;
        table.connections.add(connection);
        return Optional.of(connection);
      }
    }
    faultReporter.report(
        new TransportError(
            TransportFault.TOO_MANY_CONNECTIONS, "connection limit " + limit + " reached"),
        "unnamed");
    socket.abort();
    return Optional.empty();
  }

  /** Sends the hello on a newly established outbound connection. */
  void onConnected(PeerConnection connection, PeerConnection.Socket socket) {
    boolean abandoned;
    synchronized (table.lock) {
      abandoned = connection.closed || table.closed;
      connection.socket = socket;
      connection.controlFrames.add(handshake.helloFrame());
    }
    if (abandoned) {
      socket.abort();
      return;
    }
    writer.flush(connection);
  }

  /** Handles a failed outbound connection attempt. */
  void onConnectFailed(PeerConnection connection, String cause) {
    fail(connection, new TransportError(TransportFault.CONNECT_FAILED, cause));
  }

  /** Processes received bytes; called by one thread at a time per connection. */
  void onBytes(PeerConnection connection, ByteBuffer input) {
    counters.addReceived(input.remaining());
    synchronized (table.lock) {
      connection.lastReceivedMillis = clockMillis.getAsLong();
    }
    while (input.hasRemaining() && !isClosed(connection)) {
      Either<TransportError, Optional<Frame>> decoded = connection.decoder.next(input);
      if (decoded.isLeft()) {
        fail(connection, decoded.getLeft());
        return;
      }
      decoded
          .get()
          .flatMap(frame -> handle(connection, frame))
          .ifPresent(error -> fail(connection, error));
    }
  }

  private boolean isClosed(PeerConnection connection) {
    synchronized (table.lock) {
      return connection.closed;
    }
  }

  private Optional<TransportError> handle(PeerConnection connection, Frame frame) {
    if (frame.kind() == FrameKind.HELLO) {
      return onHello(connection, frame.payload());
    }
    if (!connection.isEstablished()) {
      return error(TransportFault.BAD_HELLO, "expected HELLO as first frame, got " + frame.kind());
    }
    if (frame.kind() == FrameKind.MESSAGE) {
      counters.countReceivedMessage();
      return receiver.onPayload(connection.remoteHello.listenAddress(), frame.payload());
    }
    if (frame.kind() == FrameKind.GOODBYE) {
      onGoodbye(connection);
    }
    return Optional.empty();
  }

  private Optional<TransportError> onHello(PeerConnection connection, byte[] payload) {
    Either<TransportError, Hello> decoded = handshake.readHello(connection, payload);
    if (decoded.isLeft()) {
      return Optional.of(decoded.getLeft());
    }
    Hello hello = decoded.get();
    DeferredActions deferred = new DeferredActions();
    synchronized (table.lock) {
      Peer peer = table.establish(connection, hello);
      if (!connection.isOutbound()) {
        connection.controlFrames.add(handshake.helloFrame());
      }
      for (PeerConnection stale : table.removeStaleIncarnations(peer, hello.incarnation())) {
        deferred.add(stale.socket::abort);
        deferred.add(() -> receiver.onUnreachable(peer.address));
      }
      deferred.add(() -> writer.flush(connection));
      selectActive(peer, deferred);
    }
    deferred.run();
    return Optional.empty();
  }

  private void onGoodbye(PeerConnection connection) {
    DeferredActions deferred = new DeferredActions();
    synchronized (table.lock) {
      connection.goodbyeReceived = true;
      selectActive(table.getOrCreatePeer(connection.remoteHello.listenAddress()), deferred);
      if (connection.goodbyeWritten) {
        deferred.add(connection.socket::close);
      }
    }
    deferred.run();
  }

  private void selectActive(Peer peer, DeferredActions deferred) {
    for (PeerConnection retired : table.selectActive(peer)) {
      deferred.add(() -> writer.flush(retired));
    }
    flushOrConnect(peer, deferred);
  }

  /**
   * Flushes the active connection, or dials the peer if frames are queued; call with the lock held.
   */
  private void flushOrConnect(Peer peer, DeferredActions deferred) {
    PeerConnection active = peer.active;
    if (active != null) {
      deferred.add(() -> writer.flush(active));
      return;
    }
    table
        .beginConnectAttempt(peer, clockMillis.getAsLong())
        .ifPresent(attempt -> deferred.add(() -> dialer.dial(peer.address, attempt)));
  }

  /** Reports a fault and closes the connection; does nothing if it is already closed. */
  void fail(PeerConnection connection, TransportError error) {
    if (isClosed(connection)) {
      return;
    }
    faultReporter.report(error, connection.describe());
    onClosed(connection);
  }

  /** Handles a socket that was closed by either side. */
  void onSocketClosed(PeerConnection connection) {
    boolean unexpected;
    synchronized (table.lock) {
      unexpected = !connection.closed && !connection.goodbyeQueued && !connection.goodbyeReceived;
    }
    if (unexpected) {
      TransportFault fault =
          connection.decoder.isInsideFrame()
              ? TransportFault.TRUNCATED_FRAME
              : TransportFault.CONNECTION_LOST;
      faultReporter.report(
          new TransportError(fault, "connection closed by peer"), connection.describe());
    }
    onClosed(connection);
  }

  private void onClosed(PeerConnection connection) {
    DeferredActions deferred = new DeferredActions();
    synchronized (table.lock) {
      if (connection.closed) {
        return;
      }
      connection.closed = true;
      table.connections.remove(connection);
      if (connection.socket != null) {
        deferred.add(connection.socket::abort);
      }
      if (connection.isEstablished()) {
        Peer peer = table.getOrCreatePeer(connection.remoteHello.listenAddress());
        discardIfUnreachable(table.removeEstablished(connection), peer, deferred);
        selectActive(peer, deferred);
      } else if (connection.isOutbound()) {
        Peer peer = table.getOrCreatePeer(connection.dialledAddress.get());
        discardIfUnreachable(
            table.removeConnectAttempt(connection, clockMillis.getAsLong()), peer, deferred);
      }
    }
    deferred.run();
  }

  private void discardIfUnreachable(boolean unreachable, Peer peer, DeferredActions deferred) {
    if (unreachable) {
      table.discardPending(peer);
      deferred.add(() -> receiver.onUnreachable(peer.address));
    }
  }

  /**
   * Closes connections whose timeout has expired, pings idle connections, and dials peers with
   * queued frames whose backoff has elapsed.
   */
  void runMaintenance() {
    long nowMillis = clockMillis.getAsLong();
    List<PeerConnection> open;
    DeferredActions deferred = new DeferredActions();
    synchronized (table.lock) {
      open = List.copyOf(table.connections);
      table.removeIdlePeers(nowMillis);
      table.peers.values().forEach(peer -> flushOrConnect(peer, deferred));
    }
    deferred.run();
    open.forEach(connection -> runMaintenance(connection, nowMillis));
  }

  private void runMaintenance(PeerConnection connection, long nowMillis) {
    Optional<TransportError> timeout;
    synchronized (table.lock) {
      timeout = connection.findExpiredTimeout(nowMillis, settings.timeouts());
      long pingIntervalMillis = settings.timeouts().silenceMillis() / PINGS_PER_SILENCE_TIMEOUT;
      if (timeout.isEmpty() && connection.needsPing(nowMillis, pingIntervalMillis)) {
        connection.controlFrames.add(Frame.encode(FrameKind.PING));
      }
    }
    if (timeout.isPresent()) {
      fail(connection, timeout.get());
    } else {
      writer.flush(connection);
    }
  }

  /** Number of open connections and connection attempts. */
  int connectionCount() {
    synchronized (table.lock) {
      return table.connections.size();
    }
  }

  /** Aborts all connections without notifying listeners. */
  void close() {
    List<PeerConnection> open;
    synchronized (table.lock) {
      table.closed = true;
      open = List.copyOf(table.connections);
      table.connections.clear();
      table.peers.clear();
      open.forEach(connection -> connection.closed = true);
    }
    open.stream().filter(c -> c.socket != null).forEach(c -> c.socket.abort());
  }

  private static Optional<TransportError> error(TransportFault fault, String detail) {
    return Optional.of(new TransportError(fault, detail));
  }
}
