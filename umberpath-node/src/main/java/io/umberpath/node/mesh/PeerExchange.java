package io.umberpath.node.mesh;

import io.umberpath.control.store.KnownPeers;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.GateBalancer;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Reports between nodes: each tells the others its load, what it holds and that it is there.
 * Reports are datagrams; one that is lost is made good by the next. Thread-safe.
 */
final class PeerExchange implements AutoCloseable {
  /** Nodes that one round of reports goes to at most, drawn anew each round. */
  private static final int MAX_RECEIVERS = 40;

  /** Rounds of reports in the own zone for each round to other zones, whose bytes cost. */
  private static final int ROUNDS_PER_FAR_ROUND = 6;

  private static final long NEAR_SILENT_MILLIS = 900;
  private static final long FAR_SILENT_MILLIS = 4_000;
  private static final long GUEST_MILLIS = 10_000;
  private static final long OWN_PAUSE_MILLIS = 600;
  private static final int MAX_DATAGRAM_BYTES = 512;

  /** Hears of a node that holds something newer. */
  interface AheadListener {
    void ahead(String host, long version, long revision);
  }

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final Supplier<StoreContact> contact;
  private final GateBalancer balancer;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final KnownPeers known;
  private final AttestedBackends attested = new AttestedBackends();
  private final Set<String> leaving = ConcurrentHashMap.newKeySet();
  private final Thread thread = new Thread(this::receive, "umberpath-reports");
  private volatile AheadListener aheadListener = (host, version, revision) -> {};
  private volatile Set<String> silent = Set.of();
  private volatile int nodes = 1;
  private int round;
  private DatagramSocket socket;

  PeerExchange(
      MeshSettings settings,
      Supplier<MeshView> view,
      Supplier<StoreContact> contact,
      GateBalancer balancer,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.view = view;
    this.contact = contact;
    this.balancer = balancer;
    this.events = events;
    this.clockMillis = clockMillis;
    this.known = new KnownPeers(settings.exchange().host(), GUEST_MILLIS, OWN_PAUSE_MILLIS);
  }

  void onAhead(AheadListener listener) {
    aheadListener = listener;
  }

  /** Listens for reports. */
  void start() throws IOException {
    socket =
        new DatagramSocket(
            new InetSocketAddress(settings.exchange().host(), settings.exchange().port()));
    thread.setDaemon(true);
    thread.start();
  }

  /** Sends this node's report and looks who has been silent. */
  void tick(PeerReport report) {
    long now = clockMillis.getAsLong();
    List<String> receivers;
    Set<String> before = silent;
    synchronized (known) {
      known.tick(now);
      known.replace(now, silenceByHost());
      silent = known.silent(now);
      receivers = new ArrayList<>(known.others());
    }
    nodes = receivers.size() + 1;
    note(before, silent);
    attested.heard(now, settings.exchange().host(), report.attested());
    boolean farRound = round++ % ROUNDS_PER_FAR_ROUND == 0 || report.attested().isPresent();
    if (!farRound && !report.leaving()) {
      receivers.removeIf(host -> !isNear(host));
    }
    if (receivers.size() > MAX_RECEIVERS) {
      Collections.shuffle(receivers, ThreadLocalRandom.current());
      receivers = receivers.subList(0, MAX_RECEIVERS);
    }
    byte[] bytes = report.encode();
    for (String host : receivers) {
      send(host, bytes);
    }
  }

  private Map<String, Long> silenceByHost() {
    Map<String, Long> silence = new HashMap<>();
    for (String host : view.get().backends().hosts()) {
      silence.put(host, isNear(host) ? NEAR_SILENT_MILLIS : FAR_SILENT_MILLIS);
    }
    return silence;
  }

  /** Whether a node is in the own zone; one that is not listed may be. */
  private boolean isNear(String host) {
    List<BackendEntry> entries = view.get().backends().atHost(host);
    return entries.isEmpty() || entries.get(0).zone().equals(settings.zone());
  }

  private void note(Set<String> before, Set<String> after) {
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

  private void send(String host, byte[] bytes) {
    try {
      socket.send(
          new DatagramPacket(
              bytes, bytes.length, InetAddress.getByName(host), settings.exchange().port()));
    } catch (IOException unreachable) {
      // The next report makes it good; who hears none for long treats this node as out of reach.
      return;
    }
  }

  private void receive() {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
    while (!socket.isClosed()) {
      try {
        packet.setLength(MAX_DATAGRAM_BYTES);
        socket.receive(packet);
        String host = packet.getAddress().getHostAddress();
        take(host, PeerReport.decode(packet.getData(), packet.getLength()));
      } catch (IOException malformed) {
        if (socket.isClosed()) {
          return;
        }
      } catch (RuntimeException fault) {
        events.fault("peer report", fault);
      }
    }
  }

  private void take(String host, PeerReport report) {
    long now = clockMillis.getAsLong();
    synchronized (known) {
      known.heard(now, host);
    }
    if (report.leaving()) {
      leaving.add(host);
    } else {
      leaving.remove(host);
    }
    attested.heard(now, host, report.attested());
    MeshView current = view.get();
    synchronized (balancer) {
      report.attested().ifPresent(entry -> balancer.stated(now, entry.id(), report.load()));
      for (BackendEntry entry : current.backends().atHost(host)) {
        balancer.stated(now, entry.id(), report.load());
      }
    }
    if (report.version() > current.version() || report.revision() > current.revision()) {
      aheadListener.ahead(host, report.version(), report.revision());
    }
  }

  /** The back ends of a service that take new work. */
  List<BackendEntry> readyBackends(String service) {
    return attested.ready(clockMillis.getAsLong(), view.get().backends(), contact.get(), service);
  }

  /** Those of the back ends whose node is out of reach or takes no new work. */
  Set<String> silentBackends(List<BackendEntry> candidates) {
    Set<String> hosts = silent;
    if (hosts.isEmpty() && leaving.isEmpty()) {
      return Set.of();
    }
    Set<String> ids = new HashSet<>();
    for (BackendEntry candidate : candidates) {
      String host = candidate.address().host();
      if (hosts.contains(host) || leaving.contains(host)) {
        ids.add(candidate.id());
      }
    }
    return ids;
  }

  /** Nodes that have been silent for too long. */
  int silentNodes() {
    return silent.size();
  }

  /** Nodes known, this one included. */
  int nodes() {
    return nodes;
  }

  @Override
  public void close() {
    if (socket != null) {
      socket.close();
    }
  }
}
