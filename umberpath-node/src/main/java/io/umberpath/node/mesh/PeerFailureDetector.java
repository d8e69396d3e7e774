package io.umberpath.node.mesh;

import io.umberpath.control.membership.KnownPeers;
import io.umberpath.control.membership.RendezvousHash;
import io.umberpath.control.membership.SilenceTimeouts;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Tracks the other nodes and detects those that have been silent for too long. Thread-safe. */
final class PeerFailureDetector {
  /** How long an unlisted node is kept after its last report, milliseconds. */
  private static final long UNLISTED_RETENTION_MILLIS = 10_000;

  /** Gap between two rounds from which on this process counts as paused, milliseconds. */
  private static final long PROCESS_PAUSE_MILLIS = 600;

  private final String self;
  private final String zone;
  private final Supplier<MeshView> view;
  private final MeshEvents events;
  private final KnownPeers knownPeers;

  /** Backends that {@link #knownPeers} was built from; guarded by it. */
  private BackendDirectory listedBackends;

  private volatile PeerView peers = PeerView.EMPTY;
  private volatile SilenceTimeouts silenceTimes = SilenceTimeouts.of(1);

  PeerFailureDetector(MeshSettings settings, Supplier<MeshView> view, MeshEvents events) {
    this.self = settings.exchange().host();
    this.zone = settings.zone();
    this.view = view;
    this.events = events;
    this.knownPeers = new KnownPeers(self, UNLISTED_RETENTION_MILLIS, PROCESS_PAUSE_MILLIS);
  }

  /** The other nodes as of the last round. */
  PeerView peers() {
    return peers;
  }

  /** The current silence timeouts. */
  SilenceTimeouts silenceTimes() {
    return silenceTimes;
  }

  /** Runs a round: updates the peers and logs which became silent or were heard again. */
  void tick(long nowMillis) {
    PeerView before = peers;
    peers = computeView(nowMillis);
    logChanges(before.silent(), peers.silent());
  }

  private PeerView computeView(long nowMillis) {
    synchronized (knownPeers) {
      knownPeers.tick(nowMillis);
      BackendDirectory current = view.get().backends();
      boolean isSameBackends = current == listedBackends;
      if (!isSameBackends) {
        knownPeers.replaceListed(nowMillis, listedPeers(current));
        listedBackends = current;
      }
      Set<String> others = knownPeers.others();
      Set<String> silent = knownPeers.silentPeers(nowMillis);
      boolean isUnchanged =
          isSameBackends && others.equals(peers.others()) && silent.equals(peers.silent());
      return isUnchanged ? peers : PeerView.of(others, silent, zone, knownPeers::zoneOf);
    }
  }

  private Map<String, KnownPeers.ListedPeer> listedPeers(BackendDirectory directory) {
    Map<String, String> zones = new HashMap<>();
    for (String host : directory.hosts()) {
      zones.put(host, directory.atHost(host).get(0).zone());
    }
    SilenceTimeouts times =
        SilenceTimeouts.of((int) zones.values().stream().filter(zone::equals).count());
    silenceTimes = times;
    Map<String, KnownPeers.ListedPeer> listedPeers = new HashMap<>();
    zones.forEach((host, hostZone) -> listedPeers.put(host, listedPeer(hostZone, times)));
    return listedPeers;
  }

  private KnownPeers.ListedPeer listedPeer(String hostZone, SilenceTimeouts times) {
    boolean isNear = hostZone.equals(zone);
    return new KnownPeers.ListedPeer(hostZone, isNear ? times.nearMillis() : times.farMillis());
  }

  private void logChanges(Set<String> before, Set<String> after) {
    for (String host : after) {
      if (!before.contains(host)) {
        events.peerSilent(host);
      }
    }
    for (String host : before) {
      if (!after.contains(host)) {
        events.peerHeard(host);
      }
    }
  }

  /** Records a report of a node, which states its zone if the store does not list it. */
  void recordReport(long atMillis, String host, Optional<String> statedZone) {
    synchronized (knownPeers) {
      knownPeers.recordHeard(atMillis, host);
      statedZone.ifPresent(
          stated -> knownPeers.updateLocation(host, listedPeer(stated, silenceTimes)));
    }
  }

  /** Nodes of this zone that have been unheard for so long that no gossip goes through them. */
  Set<String> quietPeers(long nowMillis) {
    synchronized (knownPeers) {
      return knownPeers.silentFor(peers.near(), nowMillis, silenceTimes.suspectMillis());
    }
  }

  /** Whether a node is in this node's zone; one of unknown zone counts as such. */
  boolean isNear(String host) {
    synchronized (knownPeers) {
      return knownPeers.zoneOf(host).map(zone::equals).orElse(true);
    }
  }

  /**
   * Whether this node is the one responsible for a task in a round. The reachable nodes take turns,
   * in their order by rendezvous hashing.
   */
  boolean isResponsibleFor(String task, long round) {
    PeerView current = peers;
    Set<String> reachable = new HashSet<>(current.others());
    reachable.removeAll(current.silent());
    reachable.add(self);
    List<String> ranking = RendezvousHash.select(reachable.size(), reachable, task);
    return ranking.get((int) (round % ranking.size())).equals(self);
  }
}
