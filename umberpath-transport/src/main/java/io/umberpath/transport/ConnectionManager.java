package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Keeps one usable connection with each peer, whichever side dialled it, and a bounded queue of
 * frames for each. When two connections cross, both sides move to the one that the smaller address
 * dialled and end the other with goodbyes, so that no message is lost by it. Thread-safe; calls
 * listeners without holding its lock.
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

  /** Starts connection attempts. */
  interface Dialer {
    /**
     * Answers with {@link #onConnected} or {@link #onConnectFailed}, possibly before it returns.
     */
    void dial(PeerAddress peer, PeerConnection connection);
  }

  /** Takes what arrives. */
  interface PayloadReceiver {
    /** Returns the error that ends the connection, if the payload is refused. */
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

  /** Queues a frame for a peer; false if its queue is full. */
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

  /** Ends the connection with a peer once its queue is empty. */
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

  /** Takes an accepted connection, or refuses it when there are too many. */
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
        new TransportError(TransportFault.TOO_MANY_CONNECTIONS, "limit " + limit + " is reached"),
        "unnamed");
    socket.abort();
    return Optional.empty();
  }

  /** A dialled connection stands; the hello goes out. */
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

  /** A dialled connection could not be made. */
  void onConnectFailed(PeerConnection connection, String cause) {
    fail(connection, new TransportError(TransportFault.CONNECT_FAILED, cause));
  }

  /** Bytes arrived; called by one thread at a time for one connection. */
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
      return errorOf(TransportFault.BAD_HELLO, "first frame is " + frame.kind());
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

  /** Writes what waits, or dials if it must; call with the lock held. */
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

  /** Ends a connection because of a fault; nothing happens if it has ended. */
  void fail(PeerConnection connection, TransportError error) {
    if (isClosed(connection)) {
      return;
    }
    faultReporter.report(error, connection.describe());
    onClosed(connection);
  }

  /** A socket was closed by either side. */
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
          new TransportError(fault, "closed by the other side"), connection.describe());
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
        dropIfUnreachable(table.removeEstablished(connection), peer, deferred);
        selectActive(peer, deferred);
      } else if (connection.isOutbound()) {
        Peer peer = table.getOrCreatePeer(connection.dialledAddress.get());
        dropIfUnreachable(
            table.removeConnectAttempt(connection, clockMillis.getAsLong()), peer, deferred);
      }
    }
    deferred.run();
  }

  private void dropIfUnreachable(boolean unreachable, Peer peer, DeferredActions deferred) {
    if (unreachable) {
      table.discardPending(peer);
      deferred.add(() -> receiver.onUnreachable(peer.address));
    }
  }

  /** Ends what is overdue, pings what is quiet and dials what may be dialled again. */
  void sweep() {
    long nowMillis = clockMillis.getAsLong();
    List<PeerConnection> open;
    DeferredActions deferred = new DeferredActions();
    synchronized (table.lock) {
      open = List.copyOf(table.connections);
      table.removeIdlePeers(nowMillis);
      table.peers.values().forEach(peer -> flushOrConnect(peer, deferred));
    }
    deferred.run();
    open.forEach(connection -> sweep(connection, nowMillis));
  }

  private void sweep(PeerConnection connection, long nowMillis) {
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

  /** Open connections and attempts. */
  int connectionCount() {
    synchronized (table.lock) {
      return table.connections.size();
    }
  }

  /** Ends everything; nobody is told. */
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

  private static Optional<TransportError> errorOf(TransportFault fault, String detail) {
    return Optional.of(new TransportError(fault, detail));
  }
}
