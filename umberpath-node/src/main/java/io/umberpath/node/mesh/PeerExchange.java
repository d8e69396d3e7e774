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
  private static final int DRAINING_ROUNDS = 2;

  /** Hears of a node that holds something newer. */
  interface NewerStateListener {
    /** A node, of the own zone or not, states a version and a position. */
    void onNewerState(String host, boolean isNear, long version, StorePosition position);
  }

  private final Supplier<MeshView> view;
  private final Supplier<StoreContact> contact;
  private final GateBalancer balancer;
  private final LongSupplier clockMillis;
  private final String self;
  private final PeerFailureDetector failureDetector;
  private final ZoneReaders readers;
  private final ReportSchedule schedule;
  private final PeerReports reports = new PeerReports();
  private final AttestedBackends attested = new AttestedBackends();
  private final Set<String> drainingHosts = ConcurrentHashMap.newKeySet();

  private final RequestQuarantine quarantine;
  private final SuspectExchange suspects;
  private final ReportSocket socket;
  private volatile NewerStateListener newerStateListener = (host, near, version, position) -> {};
  private int drainingRounds;

  /** Tells the reports of this process from those of the one before it. */
  private final int incarnation = ThreadLocalRandom.current().nextInt();

  private final AtomicInteger reportSequence = new AtomicInteger();

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
    this.failureDetector = new PeerFailureDetector(settings, view, events);
    this.readers =
        new ZoneReaders(
            self,
            failureDetector::peers,
            () -> failureDetector.silenceTimes().nearMillis(),
            reports,
            drainingHosts,
            SilenceTimes.ROUND_MILLIS);
    this.schedule = new ReportSchedule(self);
    this.socket = new ReportSocket(settings.exchange(), this::handle, events);
    this.suspects =
        new SuspectExchange(
            quarantine, () -> failureDetector.peers().others(), socket::send, clockMillis);
  }

  void onNewerState(NewerStateListener listener) {
    newerStateListener = listener;
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
  void sendSuspects() {
    suspects.tick();
  }

  /** One round: looks who has been silent, and sends reports. */
  void tick(PeerReport report) {
    long now = clockMillis.getAsLong();
    failureDetector.tick(now);
    PeerView current = failureDetector.peers();
    reports.removeExpired(now);
    attested.removeExpired(now);
    attested.recordAttestation(now, self, report.attested());
    ReportSchedule.Round round;
    synchronized (schedule) {
      Set<String> quietPeers = failureDetector.quietPeers(now);
      round = schedule.next(current.near(), current.farByZone(), current.ineligible(), quietPeers);
    }
    boolean sendsToAll = report.isDraining() && drainingRounds++ < DRAINING_ROUNDS;
    PeerMessage.Entry ownEntry = ownEntry(report);
    socket.send(
        PeerMessage.Kind.REPORTS,
        List.of(ownEntry),
        sendsToAll ? current.others() : round.reportTo());
    if (!round.gossipTo().isEmpty() || !round.digestTo().isEmpty()) {
      List<PeerMessage.Entry> zoneEntries = zoneEntries(now, ownEntry);
      socket.send(PeerMessage.Kind.REPORTS, zoneEntries, round.gossipTo());
      socket.send(PeerMessage.Kind.DIGEST, zoneEntries, round.digestTo());
    }
  }

  /** Tells the own zone at once what this node holds now, and by a relay each other zone. */
  void announce(PeerReport report) {
    PeerView current = failureDetector.peers();
    List<String> relays;
    synchronized (schedule) {
      relays = schedule.relays(current.farByZone(), current.silent());
    }
    List<PeerMessage.Entry> ownEntry = List.of(ownEntry(report));
    socket.send(PeerMessage.Kind.REPORTS, ownEntry, current.near());
    socket.send(PeerMessage.Kind.DIGEST, ownEntry, relays);
  }

  private PeerMessage.Entry ownEntry(PeerReport report) {
    PeerMessage.Stamp stamp = new PeerMessage.Stamp(incarnation, reportSequence.incrementAndGet());
    return new PeerMessage.Entry(self, 0, stamp, EncodedReport.of(report));
  }

  /** This node's report and the latest that it holds of the others of its zone in reach. */
  private List<PeerMessage.Entry> zoneEntries(long nowMillis, PeerMessage.Entry own) {
    List<PeerMessage.Entry> entries = new ArrayList<>();
    entries.add(own);
    reports
        .ofHosts(failureDetector.peers().reachableNear())
        .forEach((host, received) -> entries.add(entry(host, received, nowMillis)));
    return entries;
  }

  private static PeerMessage.Entry entry(
      String host, PeerReports.ReceivedReport received, long nowMillis) {
    long ageMillis = nowMillis - received.madeAtMillis();
    return new PeerMessage.Entry(host, ageMillis, received.stamp(), received.encoded());
  }

  private void handle(PeerDatagram message) throws IOException {
    if (message instanceof SuspectMessage suspectMessage) {
      quarantine.take(suspectMessage);
    } else if (message instanceof PeerMessage peerMessage) {
      handle(peerMessage);
    }
  }

  private void handle(PeerMessage message) throws IOException {
    if (message.kind() == PeerMessage.Kind.DIGEST) {
      socket.send(PeerMessage.Kind.REPORTS, message.entries(), failureDetector.peers().near());
    }
    long now = clockMillis.getAsLong();
    for (PeerMessage.Entry entry : message.entries()) {
      if (!entry.host().equals(self)) {
        long atMillis = now - entry.ageMillis();
        Optional<PeerReport> newReport = reports.accept(entry, atMillis);
        if (newReport.isPresent()) {
          handle(entry.host(), newReport.get(), atMillis);
        }
      }
    }
  }

  private void handle(String host, PeerReport report, long atMillis) {
    failureDetector.recordReport(atMillis, host, report.statedZone());
    if (report.isDraining()) {
      drainingHosts.add(host);
    } else {
      drainingHosts.remove(host);
    }
    attested.recordAttestation(atMillis, host, report.attested());
    suspects.heard(host, report.suspectsDigest());
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
      newerStateListener.onNewerState(
          host, failureDetector.isNear(host), report.version(), report.position());
    }
  }

  /**
   * Whether this node is one of those of its zone that call the store.
   *
   * @param refused whether the store did not answer this node lately
   */
  ReaderElection.Decision electReader(boolean isRefused) {
    return readers.decide(clockMillis.getAsLong(), isRefused);
  }

  /** Whether enough others call the store promptly, see {@link ZoneReaders#isStandby}. */
  boolean isStandbyReader() {
    return readers.isStandby();
  }

  /** The contact with the store that nodes of the own zone state; empty if none calls it. */
  Optional<StoreContact> zoneStoreContact() {
    return readers.storeContact();
  }

  /** The back ends of a service that take new work. */
  List<BackendEntry> readyBackends(String service) {
    return attested.readyBackends(clockMillis.getAsLong(), view.get().backends(), contact, service);
  }

  /** Those of the back ends whose node is out of reach or takes no new work. */
  Set<String> silentBackends(List<BackendEntry> candidates) {
    Set<String> silentHosts = failureDetector.peers().silent();
    if (silentHosts.isEmpty() && drainingHosts.isEmpty()) {
      return Set.of();
    }
    Set<String> ids = new HashSet<>();
    for (BackendEntry candidate : candidates) {
      String host = candidate.address().host();
      if (silentHosts.contains(host) || drainingHosts.contains(host)) {
        ids.add(candidate.id());
      }
    }
    return ids;
  }

  /** Whether a node has been silent for too long. */
  boolean isSilent(String host) {
    return failureDetector.peers().silent().contains(host);
  }

  /** Nodes that have been silent for too long. */
  int silentNodeCount() {
    return failureDetector.peers().silent().size();
  }

  /** Whether, of the nodes in reach, this one comes first for a task that one of them does. */
  boolean isResponsibleFor(String task) {
    return failureDetector.isResponsibleFor(task);
  }

  /** Nodes known, this one included. */
  int nodes() {
    return failureDetector.peers().others().size() + 1;
  }

  @Override
  public void close() {
    socket.close();
  }
}
