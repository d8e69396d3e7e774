package io.umberpath.node.mesh;

import io.umberpath.control.membership.ReportSchedule;
import io.umberpath.control.membership.SilenceTimes;
import io.umberpath.control.store.ReaderElection;
import io.umberpath.control.store.StorePosition;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.GateBalancer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Reports between nodes: each tells the others its load, what it holds and that it is there, within
 * its zone by gossip and to other zones by digests (see {@link ReportSchedule}). Reports are
 * datagrams; one that is lost is made good by the next. Thread-safe.
 */
final class PeerExchange implements AutoCloseable {
  /** Rounds in which a leaving node tells all others itself, so that nobody waits for digests. */
  private static final int LEAVING_ROUNDS = 2;

  /** Hears of a node that holds something newer. */
  interface AheadListener {
    /** A node, of the own zone or not, states a version and a position. */
    void ahead(String host, boolean near, long version, StorePosition position);
  }

  private final Supplier<MeshView> view;
  private final Supplier<StoreContact> contact;
  private final GateBalancer balancer;
  private final LongSupplier clockMillis;
  private final String self;
  private final PeerWatch watch;
  private final ZoneReaders readers;
  private final ReportSchedule schedule;
  private final PeerReports reports = new PeerReports();
  private final AttestedBackends attested = new AttestedBackends();
  private final Set<String> leaving = ConcurrentHashMap.newKeySet();

  private final RequestQuarantine quarantine;
  private final SuspectExchange suspects;
  private final ReportSocket socket;
  private volatile AheadListener aheadListener = (host, near, version, position) -> {};
  private int leavingRounds;

  /** Tells the reports of this process from those of the one before it. */
  private final int run = ThreadLocalRandom.current().nextInt();

  private final AtomicInteger reportCount = new AtomicInteger();

  PeerExchange(
      MeshSettings settings,
      Supplier<MeshView> view,
      Supplier<StoreContact> contact,
      GateBalancer balancer,
      RequestQuarantine quarantine,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.view = view;
    this.contact = contact;
    this.balancer = balancer;
    this.quarantine = quarantine;
    this.clockMillis = clockMillis;
    this.self = settings.exchange().host();
    this.watch = new PeerWatch(settings, view, events);
    this.readers =
        new ZoneReaders(
            self,
            watch::peers,
            () -> watch.silenceTimes().nearMillis(),
            reports,
            leaving,
            SilenceTimes.ROUND_MILLIS);
    this.schedule = new ReportSchedule(self);
    this.socket = new ReportSocket(settings.exchange(), this::take, events);
    this.suspects =
        new SuspectExchange(quarantine, () -> watch.peers().others(), socket::send, clockMillis);
  }

  void onAhead(AheadListener listener) {
    aheadListener = listener;
  }

  /** Listens for reports. */
  void start() throws IOException {
    socket.open();
  }

  /** What all nodes together know of requests under which back ends end. */
  RequestQuarantine quarantine() {
    return quarantine;
  }

  /** Tells the other nodes at once under which requests back ends ended. */
  void tellSuspects() {
    suspects.tick();
  }

  /** One round: looks who has been silent, and sends reports. */
  void tick(PeerReport report) {
    long now = clockMillis.getAsLong();
    watch.tick(now);
    PeerView current = watch.peers();
    reports.forget(now);
    attested.forget(now);
    attested.heard(now, self, report.attested());
    ReportSchedule.Round round;
    synchronized (schedule) {
      Set<String> quiet = watch.quiet(now);
      round = schedule.next(current.near(), current.farByZone(), current.ineligible(), quiet);
    }
    boolean toAll = report.leaving() && leavingRounds++ < LEAVING_ROUNDS;
    PeerMessage.Entry own = stamped(report);
    socket.send(
        PeerMessage.Kind.REPORTS, List.of(own), toAll ? current.others() : round.reportTo());
    if (!round.gossipTo().isEmpty() || !round.digestTo().isEmpty()) {
      List<PeerMessage.Entry> zone = reportsOfZone(now, own);
      socket.send(PeerMessage.Kind.REPORTS, zone, round.gossipTo());
      socket.send(PeerMessage.Kind.DIGEST, zone, round.digestTo());
    }
  }

  /** Tells the own zone at once what this node holds now, and by a relay each other zone. */
  void announce(PeerReport report) {
    PeerView current = watch.peers();
    List<String> relays;
    synchronized (schedule) {
      relays = schedule.relays(current.farByZone(), current.silent());
    }
    List<PeerMessage.Entry> own = List.of(stamped(report));
    socket.send(PeerMessage.Kind.REPORTS, own, current.near());
    socket.send(PeerMessage.Kind.DIGEST, own, relays);
  }

  private PeerMessage.Entry stamped(PeerReport report) {
    PeerMessage.Stamp stamp = new PeerMessage.Stamp(run, reportCount.incrementAndGet());
    return new PeerMessage.Entry(self, 0, stamp, EncodedReport.of(report));
  }

  /** This node's report and the latest that it holds of the others of its zone in reach. */
  private List<PeerMessage.Entry> reportsOfZone(long nowMillis, PeerMessage.Entry own) {
    List<PeerMessage.Entry> entries = new ArrayList<>();
    entries.add(own);
    reports
        .of(watch.peers().reachableNear())
        .forEach((host, heard) -> entries.add(entry(host, heard, nowMillis)));
    return entries;
  }

  private static PeerMessage.Entry entry(String host, PeerReports.Heard heard, long nowMillis) {
    long ageMillis = nowMillis - heard.atMillis();
    return new PeerMessage.Entry(host, ageMillis, heard.stamp(), heard.encoded());
  }

  private void take(PeerDatagram message) throws IOException {
    if (message instanceof SuspectMessage suspected) {
      quarantine.take(suspected);
    } else if (message instanceof PeerMessage reported) {
      take(reported);
    }
  }

  private void take(PeerMessage message) throws IOException {
    if (message.kind() == PeerMessage.Kind.DIGEST) {
      socket.send(PeerMessage.Kind.REPORTS, message.entries(), watch.peers().near());
    }
    long now = clockMillis.getAsLong();
    for (PeerMessage.Entry entry : message.entries()) {
      if (!entry.host().equals(self)) {
        long atMillis = now - entry.ageMillis();
        Optional<PeerReport> news = reports.take(entry, atMillis);
        if (news.isPresent()) {
          take(entry.host(), news.get(), atMillis);
        }
      }
    }
  }

  private void take(String host, PeerReport report, long atMillis) {
    watch.heard(atMillis, host, report.statedZone());
    if (report.leaving()) {
      leaving.add(host);
    } else {
      leaving.remove(host);
    }
    attested.heard(atMillis, host, report.attested());
    suspects.heard(host, report.suspects());
    MeshView current = view.get();
    synchronized (balancer) {
      if (report.attested().isPresent()) {
        balancer.stated(atMillis, report.attested().get().id(), report.load());
      }
      for (BackendEntry backend : current.backends().atHost(host)) {
        balancer.stated(atMillis, backend.id(), report.load());
      }
    }
    if (current.isBehind(report.version(), report.position())) {
      aheadListener.ahead(host, watch.isNear(host), report.version(), report.position());
    }
  }

  /**
   * Whether this node is one of those of its zone that call the store.
   *
   * @param refused whether the store did not answer this node lately
   */
  ReaderElection.Decision electReader(boolean refused) {
    return readers.decide(clockMillis.getAsLong(), refused);
  }

  /** Whether enough others call the store promptly, see {@link ZoneReaders#isStandby}. */
  boolean isStandbyReader() {
    return readers.isStandby();
  }

  /** The contact with the store that nodes of the own zone state; empty if none calls it. */
  Optional<StoreContact> zoneContact() {
    return readers.contact();
  }

  /** The back ends of a service that take new work. */
  List<BackendEntry> readyBackends(String service) {
    return attested.ready(clockMillis.getAsLong(), view.get().backends(), contact, service);
  }

  /** Those of the back ends whose node is out of reach or takes no new work. */
  Set<String> silentBackends(List<BackendEntry> candidates) {
    Set<String> hosts = watch.peers().silent();
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

  /** Whether a node has been silent for too long. */
  boolean isSilent(String host) {
    return watch.peers().silent().contains(host);
  }

  /** Nodes that have been silent for too long. */
  int silentNodes() {
    return watch.peers().silent().size();
  }

  /** Whether, of the nodes in reach, this one comes first for a task that one of them does. */
  boolean isFirstFor(String task) {
    return watch.isFirstFor(task);
  }

  /** Nodes known, this one included. */
  int nodes() {
    return watch.peers().others().size() + 1;
  }

  @Override
  public void close() {
    socket.close();
  }
}
