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

/** Which nodes of the own zone call the store, as their reports tell. Thread-safe. */
final class ZoneReaders {
  /**
   * Nodes of all zones that call the store promptly: the loss of one is not felt, and until that of
   * both is noticed, within 3.7 s, the standing watches of the others still hear changes at once.
   */
  private static final int PROMPT_READERS = 2;

  private final String self;
  private final Supplier<PeerView> peers;
  private final LongSupplier silenceMillis;
  private final PeerReports reports;

  /** Nodes that take no new work; shared with who hears of it. */
  private final Set<String> drainingHosts;

  private final long roundMillis;
  private final ReaderElection election;

  /** The last decision; guarded by this object's lock. */
  private LastElection lastElection;

  /**
   * The last decision about reading the store, and from what it was made.
   *
   * @param peers the other nodes as they were seen
   * @param isRefused whether the store did not answer this node lately
   * @param atMillis when it was made
   */
  private record LastElection(
      PeerView peers, boolean isRefused, long atMillis, ReaderElection.Decision decision) {
    boolean isValid(PeerView current, boolean isRefusedNow, long nowMillis, long roundMillis) {
      return peers == current && isRefused == isRefusedNow && nowMillis < atMillis + roundMillis;
    }
  }

  /**
   * Creates one that has not decided.
   *
   * @param silenceMillis after how much silence a node of the own zone is out of reach
   * @param roundMillis time between two rounds of reports: nothing is decided twice in it
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
   * Whether this node is one of those of its zone that call the store; decided once a round of
   * reports at most, since nothing else changes it.
   *
   * @param isRefused whether the store did not answer this node lately
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
   * Whether enough nodes that rank before this one, of any zone, say that the store answers them:
   * what changes, this node hears from them within some hundred milliseconds.
   */
  boolean isStandby() {
    PeerView current = peers.get();
    Comparator<String> rank = StoreReaders.rank();
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

  /** The contact with the store that nodes of the own zone state; empty if none calls it. */
  Optional<StoreContact> storeContact() {
    return reports.storeContact(peers.get().reachableInZone()::contains);
  }
}
