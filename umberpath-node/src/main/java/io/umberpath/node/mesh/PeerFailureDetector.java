package io.umberpath.node.mesh;

import io.umberpath.control.membership.KnownPeers;
import io.umberpath.control.membership.Rendezvous;
import io.umberpath.control.membership.SilenceTimes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Which other nodes there are, and which of them have been silent for too long. Thread-safe. */
final class PeerFailureDetector {
  /** How long a node that is not listed counts after its last report, milliseconds. */
  private static final long UNLISTED_RETENTION_MILLIS = 10_000;

  /** Gap between two rounds from which on this node itself stood still, milliseconds. */
  private static final long PROCESS_PAUSE_MILLIS = 600;

  private final String self;
  private final String zone;
  private final Supplier<MeshView> view;
  private final MeshEvents events;
  private final KnownPeers knownPeers;

  /** Back ends that {@link #known} was made of; guarded by it. */
  private BackendDirectory listedBackends;

  private volatile PeerView peers = PeerView.EMPTY;
  private volatile SilenceTimes silenceTimes = SilenceTimes.of(1);

  PeerFailureDetector(MeshSettings settings, Supplier<MeshView> view, MeshEvents events) {
    this.self = settings.exchange().host();
    this.zone = settings.zone();
    this.view = view;
    this.events = events;
    this.knownPeers = new KnownPeers(self, UNLISTED_RETENTION_MILLIS, PROCESS_PAUSE_MILLIS);
  }

  /** The other nodes, as the last round saw them. */
  PeerView peers() {
    return peers;
  }

  /** After how much silence a node counts as out of reach now. */
  SilenceTimes silenceTimes() {
    return silenceTimes;
  }

  /** One round: looks who has been silent. */
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
        knownPeers.replace(nowMillis, listedPeers(current));
        listedBackends = current;
      }
      Set<String> others = knownPeers.others();
      Set<String> silent = knownPeers.silent(nowMillis);
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
    SilenceTimes times =
        SilenceTimes.of((int) zones.values().stream().filter(zone::equals).count());
    silenceTimes = times;
    Map<String, KnownPeers.ListedPeer> listedPeers = new HashMap<>();
    zones.forEach((host, hostZone) -> listedPeers.put(host, listedPeer(hostZone, times)));
    return listedPeers;
  }

  private KnownPeers.ListedPeer listedPeer(String hostZone, SilenceTimes times) {
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

  /** A node was there at a time; where the store does not list it, it may state its zone. */
  void recordReport(long atMillis, String host, Optional<String> statedZone) {
    synchronized (knownPeers) {
      knownPeers.heard(atMillis, host);
      statedZone.ifPresent(stated -> knownPeers.place(host, listedPeer(stated, silenceTimes)));
    }
  }

  /** Nodes of the own zone through which no report travels any more. */
  Set<String> quietPeers(long nowMillis) {
    synchronized (knownPeers) {
      return knownPeers.unheard(peers.near(), nowMillis, silenceTimes.quietMillis());
    }
  }

  /** Whether a node is in the own zone; one whose zone is not known may be. */
  boolean isNear(String host) {
    synchronized (knownPeers) {
      return knownPeers.zoneOf(host).map(zone::equals).orElse(true);
    }
  }

  /** Whether, of the nodes in reach, this one comes first for a task that one of them does. */
  boolean isResponsibleFor(String task) {
    PeerView current = peers;
    Set<String> reachable = new HashSet<>(current.others());
    reachable.removeAll(current.silent());
    reachable.add(self);
    return Rendezvous.first(1, reachable, task).contains(self);
  }
}
