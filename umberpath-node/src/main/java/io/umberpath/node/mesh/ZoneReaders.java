package io.umberpath.node.mesh;

import io.umberpath.control.store.ReaderElection;
import io.umberpath.control.store.StoreReaders;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Elects the nodes of this zone that read the store, based on their reports. Thread-safe. */
final class ZoneReaders {
  /**
   * Nodes of all zones that call the store promptly: the loss of one has no effect. Until the loss
   * of both is detected, within 3.7 s, the pending watches of the others still receive changes at
   * once.
   */
  private static final int PROMPT_READERS = 2;

  private final String self;
  private final Supplier<PeerView> peers;
  private final LongSupplier silenceMillis;
  private final PeerReports reports;

  /** Nodes that take no new requests; shared with {@link PeerExchange}, which updates it. */
  private final Set<String> drainingHosts;

  private final long roundMillis;
  private final ReaderElection election;

  /** The last decision; guarded by this object's lock. */
  private LastElection lastElection;

  /**
   * The last election and its inputs.
   *
   * @param peers the other nodes at that time
   * @param isRefused whether the store recently failed to respond to this node
   * @param atMillis time of the election
   */
  private record LastElection(
      PeerView peers, boolean isRefused, long atMillis, ReaderElection.Decision decision) {
    boolean isValid(PeerView current, boolean isRefusedNow, long nowMillis, long roundMillis) {
      return peers == current && isRefused == isRefusedNow && nowMillis < atMillis + roundMillis;
    }
  }

  /**
   * Creates the election of a node.
   *
   * @param silenceMillis silence after which a node of this zone counts as unreachable,
   *     milliseconds
   * @param roundMillis time between two rounds of reports, in which a decision is reused,
   *     milliseconds
   */
  ZoneReaders(
      String self,
      Supplier<PeerView> peers,
      LongSupplier silenceMillis,
      PeerReports reports,
      Set<String> drainingHosts,
      long roundMillis) {
    this.self = self;
    this.peers = peers;
    this.silenceMillis = silenceMillis;
    this.reports = reports;
    this.drainingHosts = drainingHosts;
    this.roundMillis = roundMillis;
    this.election = new ReaderElection(self, roundMillis);
  }

  /**
   * Decides whether this node reads the store for its zone; at most once a round of reports unless
   * the inputs change.
   *
   * @param isRefused whether the store recently failed to respond to this node
   */
  synchronized ReaderElection.Decision decide(long nowMillis, boolean isRefused) {
    PeerView current = peers.get();
    if (lastElection == null || !lastElection.isValid(current, isRefused, nowMillis, roundMillis)) {
      lastElection =
          new LastElection(current, isRefused, nowMillis, elect(nowMillis, current, isRefused));
    }
    return lastElection.decision();
  }

  private ReaderElection.Decision elect(long nowMillis, PeerView current, boolean isRefused) {
    Set<String> reachable = current.reachableInZone();
    reachable.removeAll(drainingHosts);
    Set<String> callingHosts = new HashSet<>();
    Set<String> refusedHosts = new HashSet<>();
    reports
        .ofHosts(reachable)
        .forEach(
            (host, received) -> {
              ReportedContact.State state = received.report().storeContact().state();
              if (state != ReportedContact.State.NONE) {
                callingHosts.add(host);
              }
              if (state == ReportedContact.State.LOST) {
                refusedHosts.add(host);
              }
            });
    if (isRefused) {
      refusedHosts.add(self);
    }
    return election.decide(
        nowMillis,
        reachable,
        callingHosts,
        refusedHosts,
        current.zones(),
        silenceMillis.getAsLong());
  }

  /**
   * Whether enough higher-ranked nodes, of any zone, report that the store answers them: this node
   * learns of changes from them within some hundred milliseconds.
   */
  boolean isStandby() {
    PeerView current = peers.get();
    Comparator<String> rank = StoreReaders.rankOrder();
    long promptReaders =
        reports.ofHosts(current.others()).entrySet().stream()
            .filter(entry -> isCalling(entry.getValue()))
            .map(Map.Entry::getKey)
            .filter(host -> !current.silent().contains(host) && rank.compare(host, self) < 0)
            .count();
    return promptReaders >= PROMPT_READERS;
  }

  private static boolean isCalling(PeerReports.ReceivedReport received) {
    return received.report().storeContact().state() == ReportedContact.State.REACHABLE;
  }

  /** The contact with the store reported by nodes of this zone; empty if none calls the store. */
  Optional<StoreContact> storeContact() {
    return reports.storeContact(peers.get().reachableInZone()::contains);
  }
}
