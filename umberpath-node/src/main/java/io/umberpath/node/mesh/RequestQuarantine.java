package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.quarantine.CrashMark;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectLedger;
import io.umberpath.traffic.quarantine.Suspicion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Keeps requests from back ends that would end under them, by what all nodes have seen ({@link
 * SuspectLedger}). Thread-safe; never waits for anything but its own lock.
 */
final class RequestQuarantine {
  private static final long MILLIS_PER_SECOND = 1_000;

  private final SuspectLedger ledger;
  private final Predicate<RequestFingerprint> isTrialOwner;
  private final MeshEvents events;
  private final LongSupplier clockMillis;

  /** What other nodes have not been told yet; guarded by this object's lock. */
  private final List<Suspicion> unsentSuspicions = new ArrayList<>();

  private volatile Set<Long> heldTargets = Set.of();
  private volatile int suspects;
  private volatile long digest;

  /**
   * Creates one that knows nothing.
   *
   * @param ledger empty
   * @param owner whether this node is the one that may try a request that is held once more
   */
  RequestQuarantine(
      SuspectLedger ledger,
      Predicate<RequestFingerprint> isTrialOwner,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.ledger = ledger;
    this.isTrialOwner = isTrialOwner;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /** Whether a request of that target may be held; most often the body need not be looked at. */
  boolean mayHold(long targetHash) {
    Set<Long> targets = heldTargets;
    return !targets.isEmpty() && targets.contains(targetHash);
  }

  /** Whether this node keeps a caller's request from all back ends; if not, it may be a trial. */
  boolean blocksOutbound(RequestFingerprint request) {
    long now = clockMillis.getAsLong();
    synchronized (this) {
      if (!ledger.isHeld(request)) {
        return false;
      }
      if (!ledger.isTrialDue(now, request) || !isTrialOwner.test(request)) {
        return true;
      }
      ledger.beginTrial(now, request);
      events.requestTried(request);
      return false;
    }
  }

  /** Whether a request of another node is kept from the back end beside this one. */
  boolean blocksInbound(RequestFingerprint request) {
    long now = clockMillis.getAsLong();
    synchronized (this) {
      return ledger.isHeld(request) && !ledger.isTrialDue(now, request);
    }
  }

  /** The back end beside this node ended while it ran these requests. */
  synchronized void recordBackendCrash(
      BackendStart backend, Collection<RequestFingerprint> running) {
    Set<RequestFingerprint> heldBefore = held(running);
    unsentSuspicions.addAll(ledger.ended(clockMillis.getAsLong(), backend, running));
    publishChanges(heldBefore, running);
  }

  /** A request ran to a good end on the back end beside this node. */
  synchronized void recordSuccess(RequestFingerprint request) {
    boolean heldBefore = ledger.isHeld(request);
    Optional<Suspicion> cleared = ledger.succeeded(clockMillis.getAsLong(), request);
    if (cleared.isPresent()) {
      unsentSuspicions.add(cleared.get());
      publishChanges(heldBefore ? Set.of(request) : Set.of(), List.of(request));
    }
  }

  /** Takes what another node knows; what this node knows against it is news for all. */
  synchronized void take(SuspectMessage message) {
    long now = clockMillis.getAsLong();
    List<Suspicion> received = message.asOf(now);
    List<RequestFingerprint> affected = received.stream().map(Suspicion::request).toList();
    Set<RequestFingerprint> heldBefore = held(affected);
    for (Suspicion each : received) {
      ledger.take(now, each).stream().skip(1).forEach(unsentSuspicions::add);
    }
    publishChanges(heldBefore, affected);
  }

  private Set<RequestFingerprint> held(Collection<RequestFingerprint> requests) {
    Set<RequestFingerprint> held = new HashSet<>();
    for (RequestFingerprint request : requests) {
      if (ledger.isHeld(request)) {
        held.add(request);
      }
    }
    return held;
  }

  private void publishChanges(
      Set<RequestFingerprint> heldBefore, Collection<RequestFingerprint> affected) {
    updateSummary();
    for (RequestFingerprint request : affected) {
      boolean isHeld = ledger.isHeld(request);
      if (isHeld != heldBefore.contains(request)) {
        events.requestHeld(request, isHeld, ledger.weight(request));
        heldTargets = ledger.heldTargets();
      }
    }
  }

  /** Drops what is too old to count. */
  synchronized void forget() {
    if (suspects > 0) {
      ledger.forget(clockMillis.getAsLong());
      heldTargets = ledger.heldTargets();
      updateSummary();
    }
  }

  private void updateSummary() {
    suspects = ledger.size();
    digest = ledger.digest();
  }

  /** What the other nodes are to be told since the last call. */
  synchronized List<Suspicion> drainUnsent() {
    List<Suspicion> drained = List.copyOf(unsentSuspicions);
    unsentSuspicions.clear();
    return drained;
  }

  /** All that is known, for a node that knows less. */
  synchronized List<Suspicion> allSuspicions() {
    return ledger.all();
  }

  /** The requests that are held, for operators: a line each. */
  synchronized String page() {
    long now = clockMillis.getAsLong();
    StringBuilder lines = new StringBuilder();
    for (Suspicion each : ledger.all()) {
      if (ledger.isHeld(each.request())) {
        lines.append(statusLine(now, each));
      }
    }
    return lines.toString();
  }

  private static String statusLine(long nowMillis, Suspicion held) {
    LongSummaryStatistics crashTimes =
        held.marks().stream()
            .filter(mark -> !mark.cleared())
            .collect(Collectors.summarizingLong(CrashMark::atMillis));
    long secondsSinceLast = (nowMillis - crashTimes.getMax()) / MILLIS_PER_SECOND;
    return "%s held, ended %d back ends, the last %d s ago%n"
        .formatted(held.request().text(), crashTimes.getCount(), secondsSinceLast);
  }

  /** The same at all nodes that know the same; 0 if nothing is known. */
  long digest() {
    return digest;
  }

  /** Requests under which back ends ended, whether or not they are held. */
  int suspects() {
    return suspects;
  }

  /** Targets of requests that are held. */
  int held() {
    return heldTargets.size();
  }
}
