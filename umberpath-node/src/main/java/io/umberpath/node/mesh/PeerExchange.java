package io.umberpath.node.mesh;

import io.umberpath.control.membership.ReportSchedule;
import io.umberpath.control.membership.SilenceTimeouts;
import io.umberpath.control.store.ReaderElection;
import io.umberpath.control.store.StorePosition;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
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
 * Exchanges reports between nodes. Each node reports its load, the version and position of its
 * state, and that it is alive: by gossip within its zone and by digests to other zones (see {@link
 * ReportSchedule}). Reports are datagrams; the next one makes up for a lost one. Thread-safe.
 */
final class PeerExchange implements AutoCloseable {
  /** Rounds in which a draining node reports to all nodes directly, rather than by digests. */
  private static final int DRAINING_ROUNDS = 2;

  /** Is notified of nodes with a newer state. */
  interface NewerStateListener {
    /** Called when a node advertises a newer version or position. */
    void onNewerState(String host, boolean isNear, long version, StorePosition position);
  }

  private final Supplier<MeshView> view;
  private final Supplier<StoreContact> contact;
  private final LatencyAwareBalancer balancer;
  private final LongSupplier clockMillis;
  private final String self;
  private final PeerFailureDetector failureDetector;
  private final ZoneReaders readers;
  private final ReportSchedule schedule;
  private final PeerReports reports = new PeerReports();
  private final AttestedBackends attested = new AttestedBackends();
  private final Set<String> drainingHosts = ConcurrentHashMap.newKeySet();

  private final RequestQuarantine quarantine;
  private final BackendNotices notices = new BackendNotices();
  private final SuspectExchange suspects;
  private final ReportSocket socket;
  private volatile NewerStateListener newerStateListener = (host, near, version, position) -> {};
  private int drainingRounds;

  /** Distinguishes the reports of this process from those before a restart. */
  private final int incarnation = ThreadLocalRandom.current().nextInt();

  private final AtomicInteger reportSequence = new AtomicInteger();

  PeerExchange(
      MeshSettings settings,
      Supplier<MeshView> view,
      Supplier<StoreContact> contact,
      LatencyAwareBalancer balancer,
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
            SilenceTimeouts.ROUND_MILLIS);
    this.schedule = new ReportSchedule(self);
    this.socket = new ReportSocket(settings.exchange(), this::handle, events);
    this.suspects =
        new SuspectExchange(
            quarantine, () -> failureDetector.peers().others(), socket::send, clockMillis);
  }

  void onNewerState(NewerStateListener listener) {
    newerStateListener = listener;
  }

  /** Starts listening for reports. */
  void start() throws IOException {
    socket.open();
  }

  /** The quarantine of requests that crash backends, as known to all nodes. */
  RequestQuarantine quarantine() {
    return quarantine;
  }

  /** What backends have announced in responses that passed through this node. */
  BackendNotices notices() {
    return notices;
  }

  /** Sends the other nodes the requests during which backends crashed. */
  void sendSuspects() {
    suspects.sendUnsent();
  }

  /** Runs a round: detects silent nodes and sends reports. */
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

  /** Reports immediately to this node's zone, and through a relay to each other zone. */
  void announce(PeerReport report) {
    PeerView current = failureDetector.peers();
    List<String> relays;
    synchronized (schedule) {
      relays = schedule.relayReceivers(current.farByZone(), current.silent());
    }
    List<PeerMessage.Entry> ownEntry = List.of(ownEntry(report));
    socket.send(PeerMessage.Kind.REPORTS, ownEntry, current.near());
    socket.send(PeerMessage.Kind.DIGEST, ownEntry, relays);
  }

  private PeerMessage.Entry ownEntry(PeerReport report) {
    PeerMessage.Stamp stamp = new PeerMessage.Stamp(incarnation, reportSequence.incrementAndGet());
    return new PeerMessage.Entry(self, 0, stamp, EncodedReport.of(report));
  }

  /** This node's report and the latest reports of the reachable nodes of its zone. */
  private List<PeerMessage.Entry> zoneEntries(long nowMillis, PeerMessage.Entry ownEntry) {
    List<PeerMessage.Entry> entries = new ArrayList<>();
    entries.add(ownEntry);
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
      quarantine.merge(suspectMessage);
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
        long madeAtMillis = now - entry.ageMillis();
        Optional<PeerReport> newReport = reports.accept(entry, madeAtMillis);
        if (newReport.isPresent()) {
          handle(entry.host(), newReport.get(), madeAtMillis);
        }
      }
    }
  }

  private void handle(String host, PeerReport report, long madeAtMillis) {
    failureDetector.recordReport(madeAtMillis, host, report.statedZone());
    if (report.isDraining()) {
      drainingHosts.add(host);
    } else {
      drainingHosts.remove(host);
    }
    attested.recordAttestation(madeAtMillis, host, report.attested());
    suspects.digestReceived(host, report.suspectsDigest());
    MeshView current = view.get();
    synchronized (balancer) {
      if (report.attested().isPresent()) {
        balancer.updateLoad(madeAtMillis, report.attested().get().id(), report.load());
      }
      for (BackendEntry backend : current.backends().atHost(host)) {
        balancer.updateLoad(madeAtMillis, backend.id(), report.load());
      }
    }
    if (current.isBehind(report.version(), report.position())) {
      newerStateListener.onNewerState(
          host, failureDetector.isNear(host), report.version(), report.position());
    }
  }

  /**
   * Decides whether this node is elected as a reader of the store for its zone.
   *
   * @param isRefused whether the store recently failed to respond to this node
   */
  ReaderElection.Decision electReader(boolean isRefused) {
    return readers.decide(clockMillis.getAsLong(), isRefused);
  }

  /** Whether enough other nodes call the store promptly, see {@link ZoneReaders#isStandby}. */
  boolean isStandbyReader() {
    return readers.isStandby();
  }

  /** The contact with the store reported by nodes of this zone; empty if none calls the store. */
  Optional<StoreContact> zoneStoreContact() {
    return readers.storeContact();
  }

  /** The backends of a service that take new requests, listed and attested ones. */
  List<BackendEntry> readyBackends(String service) {
    return attested.readyBackends(clockMillis.getAsLong(), view.get().backends(), contact, service);
  }

  /**
   * Ids of the candidates whose node is silent or draining, or that have announced their end in a
   * response, whatever the store or other nodes say.
   */
  Set<String> unavailableBackends(List<BackendEntry> candidates) {
    Set<String> silentHosts = failureDetector.peers().silent();
    if (silentHosts.isEmpty() && drainingHosts.isEmpty() && notices.isEmpty()) {
      return Set.of();
    }
    Set<String> ids = new HashSet<>();
    for (BackendEntry candidate : candidates) {
      String host = candidate.address().host();
      if (silentHosts.contains(host)
          || drainingHosts.contains(host)
          || notices.isLeaving(candidate.start())) {
        ids.add(candidate.id());
      }
    }
    return ids;
  }

  /** Whether a node has sent no reports for too long. */
  boolean isSilent(String host) {
    return failureDetector.peers().silent().contains(host);
  }

  /** Whether a node is known and not silent. */
  boolean isReachable(String host) {
    return failureDetector.peers().others().contains(host) && !isSilent(host);
  }

  /** Number of nodes that have sent no reports for too long. */
  int silentNodeCount() {
    return failureDetector.peers().silent().size();
  }

  /** Whether this node is the one responsible for a task in a round. */
  boolean isResponsibleFor(String task, long round) {
    return failureDetector.isResponsibleFor(task, round);
  }

  /** Number of known nodes, this one included. */
  int nodeCount() {
    return failureDetector.peers().others().size() + 1;
  }

  @Override
  public void close() {
    socket.close();
  }
}
