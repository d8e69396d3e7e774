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
final class PeerConnections {
  private static final int PINGS_PER_SILENCE = 3;

  private final TransportSettings settings;
  private final Dialer dialer;
  private final Receiver receiver;
  private final TransportCounters counters;
  private final FaultReporter faults;
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
  interface Receiver {
    /** Returns the error that ends the connection, if the payload is refused. */
    Optional<TransportError> onPayload(PeerAddress from, byte[] payload);

    void onUnreachable(PeerAddress peer);
  }

  PeerConnections(
      TransportSettings settings,
      PeerAddress self,
      Dialer dialer,
      Receiver receiver,
      TransportCounters counters,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.dialer = dialer;
    this.receiver = receiver;
    this.counters = counters;
    this.faults = new FaultReporter(counters);
    this.clockMillis = clockMillis;
    this.handshake = new Handshake(self, settings.incarnation());
    this.table = new PeerTable(settings, self);
    this.writer = new FrameWriter(table, counters, clockMillis);
  }

  /** Queues a frame for a peer; false if its queue is full. */
  boolean send(PeerAddress to, byte[] frame) {
    Effects effects = new Effects();
    synchronized (table.lock) {
      if (table.closed) {
        return true;
      }
      Peer peer = table.peer(to);
      if (!peer.queue.offer(frame)) {
        return false;
      }
      peer.disconnectWhenEmpty = false;
      pursue(peer, effects);
    }
    effects.run();
    return true;
  }

  /** Ends the connection with a peer once its queue is empty. */
  void disconnect(PeerAddress address) {
    Effects effects = new Effects();
    synchronized (table.lock) {
      Peer peer = table.peers.get(address);
      if (peer != null) {
        peer.disconnectWhenEmpty = true;
        pursue(peer, effects);
      }
    }
    effects.run();
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
    faults.report(
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
      connection.controlFrames.add(handshake.frame());
    }
    if (abandoned) {
      socket.abort();
      return;
    }
    writer.drain(connection);
  }

  /** A dialled connection could not be made. */
  void onConnectFailed(PeerConnection connection, String cause) {
    fail(connection, new TransportError(TransportFault.CONNECT_FAILED, cause));
  }

  /** Bytes arrived; called by one thread at a time for one connection. */
  void onBytes(PeerConnection connection, ByteBuffer input) {
    counters.received(input.remaining());
    synchronized (table.lock) {
      connection.receivedAt = clockMillis.getAsLong();
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
      return error(TransportFault.BAD_HELLO, "first frame is " + frame.kind());
    }
    if (frame.kind() == FrameKind.MESSAGE) {
      counters.receivedMessage();
      return receiver.onPayload(connection.remote.listening(), frame.payload());
    }
    if (frame.kind() == FrameKind.GOODBYE) {
      onGoodbye(connection);
    }
    return Optional.empty();
  }

  private Optional<TransportError> onHello(PeerConnection connection, byte[] payload) {
    Either<TransportError, Hello> read = handshake.read(connection, payload);
    if (read.isLeft()) {
      return Optional.of(read.getLeft());
    }
    Hello hello = read.get();
    Effects effects = new Effects();
    synchronized (table.lock) {
      Peer peer = table.establish(connection, hello);
      if (!connection.isOutbound()) {
        connection.controlFrames.add(handshake.frame());
      }
      for (PeerConnection former : table.removeFormerIncarnations(peer, hello.incarnation())) {
        effects.add(former.socket::abort);
        effects.add(() -> receiver.onUnreachable(peer.address));
      }
      effects.add(() -> writer.drain(connection));
      choose(peer, effects);
    }
    effects.run();
    return Optional.empty();
  }

  private void onGoodbye(PeerConnection connection) {
    Effects effects = new Effects();
    synchronized (table.lock) {
      connection.goodbyeReceived = true;
      choose(table.peer(connection.remote.listening()), effects);
      if (connection.goodbyeWritten) {
        effects.add(connection.socket::close);
      }
    }
    effects.run();
  }

  private void choose(Peer peer, Effects effects) {
    for (PeerConnection retired : table.choose(peer)) {
      effects.add(() -> writer.drain(retired));
    }
    pursue(peer, effects);
  }

  /** Writes what waits, or dials if it must; call with the lock held. */
  private void pursue(Peer peer, Effects effects) {
    PeerConnection active = peer.active;
    if (active != null) {
      effects.add(() -> writer.drain(active));
      return;
    }
    table
        .beginAttempt(peer, clockMillis.getAsLong())
        .ifPresent(attempt -> effects.add(() -> dialer.dial(peer.address, attempt)));
  }

  /** Ends a connection because of a fault; nothing happens if it has ended. */
  void fail(PeerConnection connection, TransportError error) {
    if (isClosed(connection)) {
      return;
    }
    faults.report(error, connection.describe());
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
      faults.report(new TransportError(fault, "closed by the other side"), connection.describe());
    }
    onClosed(connection);
  }

  private void onClosed(PeerConnection connection) {
    Effects effects = new Effects();
    synchronized (table.lock) {
      if (connection.closed) {
        return;
      }
      connection.closed = true;
      table.connections.remove(connection);
      if (connection.socket != null) {
        effects.add(connection.socket::abort);
      }
      if (connection.isEstablished()) {
        Peer peer = table.peer(connection.remote.listening());
        loseIf(table.removeEstablished(connection), peer, effects);
        choose(peer, effects);
      } else if (connection.isOutbound()) {
        Peer peer = table.peer(connection.dialled.get());
        loseIf(table.removeAttempt(connection, clockMillis.getAsLong()), peer, effects);
      }
    }
    effects.run();
  }

  private void loseIf(boolean lost, Peer peer, Effects effects) {
    if (lost) {
      table.drop(peer);
      effects.add(() -> receiver.onUnreachable(peer.address));
    }
  }

  /** Ends what is overdue, pings what is quiet and dials what may be dialled again. */
  void sweep() {
    long now = clockMillis.getAsLong();
    List<PeerConnection> open;
    Effects effects = new Effects();
    synchronized (table.lock) {
      open = List.copyOf(table.connections);
      table.forgetIdlePeers(now);
      table.peers.values().forEach(peer -> pursue(peer, effects));
    }
    effects.run();
    open.forEach(connection -> sweep(connection, now));
  }

  private void sweep(PeerConnection connection, long now) {
    Optional<TransportError> overdue;
    synchronized (table.lock) {
      overdue = connection.overdue(now, settings.timeouts());
      long pingMillis = settings.timeouts().silenceMillis() / PINGS_PER_SILENCE;
      if (overdue.isEmpty() && connection.isQuiet(now, pingMillis)) {
        connection.controlFrames.add(Frame.encode(FrameKind.PING));
      }
    }
    if (overdue.isPresent()) {
      fail(connection, overdue.get());
    } else {
      writer.drain(connection);
    }
  }

  /** Open connections and attempts. */
  int count() {
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

  private static Optional<TransportError> error(TransportFault fault, String detail) {
    return Optional.of(new TransportError(fault, detail));
  }
}
