package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Peers and connections of one transport. Selects the active connection of each peer. All methods
 * must be called with {@link #lock} held.
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

  Peer getOrCreatePeer(PeerAddress address) {
    return peers.computeIfAbsent(address, key -> new Peer(key, settings));
  }

  /** Registers a connection whose hello has been validated. */
  Peer establish(PeerConnection connection, Hello hello) {
    Peer peer = getOrCreatePeer(hello.listenAddress());
    connection.remoteHello = hello;
    connection.decoder.setMaxFrameBytes(settings.limits().maxFrameBytes());
    if (connection.isOutbound()) {
      peer.connectAttempt = null;
    }
    peer.backoff.reset();
    peer.nextAttemptMillis = Long.MIN_VALUE;
    peer.established.add(connection);
    return peer;
  }

  /** Removes and returns the connections that belong to other incarnations of the peer. */
  List<PeerConnection> removeStaleIncarnations(Peer peer, long incarnation) {
    List<PeerConnection> stale =
        peer.established.stream()
            .filter(connection -> connection.remoteHello.incarnation() != incarnation)
            .toList();
    stale.forEach(connection -> connection.closed = true);
    peer.established.removeAll(stale);
    connections.removeAll(stale);
    return stale;
  }

  /**
   * Selects the connection to send on and queues a goodbye on the others.
   *
   * @return connections on which a goodbye was queued
   */
  List<PeerConnection> selectActive(Peer peer) {
    peer.active = peer.preferredConnection(self).orElse(null);
    List<PeerConnection> retired =
        peer.established.stream()
            .filter(other -> other != peer.active && !other.goodbyeQueued)
            .toList();
    retired.forEach(PeerConnection::queueGoodbye);
    return retired;
  }

  /**
   * Begins a connection attempt if frames are queued, there is neither an active connection nor
   * another attempt, and the backoff has elapsed.
   */
  Optional<PeerConnection> beginConnectAttempt(Peer peer, long nowMillis) {
    boolean needed = peer.active == null && peer.connectAttempt == null && !peer.queue.isEmpty();
    if (closed || !needed || nowMillis < peer.nextAttemptMillis) {
      return Optional.empty();
    }
    PeerConnection attempt =
        new PeerConnection(Optional.of(peer.address), Handshake.MAX_HELLO_BYTES, nowMillis);
    peer.connectAttempt = attempt;
    connections.add(attempt);
    return Optional.of(attempt);
  }

  /** Removes an established connection; returns true if it was the active one. */
  boolean removeEstablished(PeerConnection connection) {
    Peer peer = getOrCreatePeer(connection.remoteHello.listenAddress());
    peer.established.remove(connection);
    return peer.active == connection;
  }

  /** Removes a failed attempt; returns true if the peer has no active connection. */
  boolean removeConnectAttempt(PeerConnection connection, long nowMillis) {
    Peer peer = getOrCreatePeer(connection.dialledAddress.get());
    peer.connectAttempt = null;
    peer.nextAttemptMillis = nowMillis + peer.backoff.nextDelayMillis();
    return peer.active == null;
  }

  /** Discards the queued frames of an unreachable peer. */
  void discardPending(Peer peer) {
    peer.active = null;
    peer.queue.clear();
    peer.disconnectWhenEmpty = false;
  }

  void removeIdlePeers(long nowMillis) {
    peers.values().removeIf(peer -> peer.isIdle(nowMillis));
  }
}
