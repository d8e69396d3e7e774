package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Peers and connections of one transport and the choice among connections. Every method is called
 * with {@link #lock} held.
 */
final class PeerTable {
  /** Guards this table, its peers and their connections. */
  final Object lock = new Object();

  final Map<PeerAddress, Peer> peers = new HashMap<>();
  final Set<PeerConnection> connections = new HashSet<>();
  boolean closed;

  private final TransportSettings settings;
  private final PeerAddress self;

  PeerTable(TransportSettings settings, PeerAddress self) {
    this.settings = settings;
    this.self = self;
  }

  Peer peer(PeerAddress address) {
    return peers.computeIfAbsent(address, key -> new Peer(key, settings));
  }

  /** Adds a connection whose hello has been checked. */
  Peer establish(PeerConnection connection, Hello hello) {
    Peer peer = peer(hello.listening());
    connection.remote = hello;
    connection.decoder.limitFrames(settings.limits().maxFrameBytes());
    if (connection.isOutbound()) {
      peer.attempt = null;
    }
    peer.backoff.reset();
    peer.attemptNotBefore = Long.MIN_VALUE;
    peer.established.add(connection);
    return peer;
  }

  /** Removes and returns the connections of other incarnations of the same peer. */
  List<PeerConnection> removeFormerIncarnations(Peer peer, long incarnation) {
    List<PeerConnection> former =
        peer.established.stream()
            .filter(connection -> connection.remote.incarnation() != incarnation)
            .toList();
    former.forEach(connection -> connection.closed = true);
    peer.established.removeAll(former);
    connections.removeAll(former);
    return former;
  }

  /**
   * Chooses the connection to send on and queues goodbyes on the others.
   *
   * @return connections that have something to write
   */
  List<PeerConnection> choose(Peer peer) {
    peer.active = peer.preferred(self).orElse(null);
    List<PeerConnection> retired =
        peer.established.stream()
            .filter(other -> other != peer.active && !other.goodbyeQueued)
            .toList();
    retired.forEach(PeerConnection::queueGoodbye);
    return retired;
  }

  /** Begins an attempt if frames wait, none is under way and the backoff has passed. */
  Optional<PeerConnection> beginAttempt(Peer peer, long now) {
    boolean needed = peer.active == null && peer.attempt == null && !peer.queue.isEmpty();
    if (closed || !needed || now < peer.attemptNotBefore) {
      return Optional.empty();
    }
    PeerConnection attempt =
        new PeerConnection(Optional.of(peer.address), Handshake.MAX_HELLO_BYTES, now);
    peer.attempt = attempt;
    connections.add(attempt);
    return Optional.of(attempt);
  }

  /** Removes an established connection; true if the peer lost the connection it was sent on. */
  boolean removeEstablished(PeerConnection connection) {
    Peer peer = peer(connection.remote.listening());
    peer.established.remove(connection);
    return peer.active == connection;
  }

  /** Removes a failed attempt; true if the peer has no other connection. */
  boolean removeAttempt(PeerConnection connection, long now) {
    Peer peer = peer(connection.dialled.get());
    peer.attempt = null;
    peer.attemptNotBefore = now + peer.backoff.nextWaitMillis();
    return peer.active == null;
  }

  /** Drops what waits for a peer that is out of reach. */
  void drop(Peer peer) {
    peer.active = null;
    peer.queue.clear();
    peer.disconnectWhenEmpty = false;
  }

  void forgetIdlePeers(long now) {
    peers.values().removeIf(peer -> peer.isForgettable(now));
  }
}
