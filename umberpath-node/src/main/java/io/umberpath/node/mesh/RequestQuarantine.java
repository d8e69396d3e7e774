package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.quarantine.CrashMark;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectRegistry;
import io.umberpath.traffic.quarantine.SuspectReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Keeps requests that crash backends away from them, based on the crashes that all nodes have seen
 * ({@link SuspectRegistry}). Thread-safe; waits for nothing but its own lock.
 */
final class RequestQuarantine {
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Time after which the next node may start a trial that is due, milliseconds. */
  private static final long ELECTION_ROUND_MILLIS = 10_000;

  /**
   * Decides which node may retry a quarantined request as a trial: one in each round, and in turn
   * all that are reachable.
   */
  interface TrialElection {
    /** Returns whether this node is the one of a round; the first round is 0. */
    boolean isElected(RequestFingerprint request, long round);
  }

  private final SuspectRegistry registry;
  private final TrialElection trialElection;
  private final MeshEvents events;
  private final LongSupplier clockMillis;

  /** Suspect reports not sent to the other nodes yet; guarded by this object's lock. */
  private final List<SuspectReport> unsentReports = new ArrayList<>();

  private volatile Set<Long> quarantinedTargets = Set.of();
  private volatile int suspectCount;
  private volatile long digest;
  private final AtomicLong refusedCount = new AtomicLong();

  /**
   * Creates an empty quarantine.
   *
   * @param registry an empty registry
   * @param trialElection decides whether this node may retry a quarantined request as a trial
   */
  RequestQuarantine(
      SuspectRegistry registry,
      TrialElection trialElection,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.registry = registry;
    this.trialElection = trialElection;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /**
   * Returns whether a request with this target may be quarantined. If not, which is the usual case,
   * the body need not be hashed.
   */
  boolean mayBeQuarantined(long targetHash) {
    Set<Long> targets = quarantinedTargets;
    return !targets.isEmpty() && targets.contains(targetHash);
  }

  /**
   * Returns whether this node refuses a client's request. If a trial of a quarantined request is
   * due here, this call starts the trial and returns false.
   */
  boolean blocksOutbound(RequestFingerprint request) {
    long now = clockMillis.getAsLong();
    synchronized (this) {
      if (!registry.isQuarantined(request)) {
        return false;
      }
      if (!registry.isTrialDue(now, request) || !isElectedForTrial(now, request)) {
        refusedCount.incrementAndGet();
        return true;
      }
      registry.beginTrial(now, request);
      events.requestTrialStarted(request);
      return false;
    }
  }

  /**
   * Returns whether this node may start a trial. The first node elected may never receive the
   * request, for example a call that only the backends of other machines make.
   */
  private boolean isElectedForTrial(long nowMillis, RequestFingerprint request) {
    long round = registry.trialOverdueMillis(nowMillis, request) / ELECTION_ROUND_MILLIS;
    return trialElection.isElected(request, round);
  }

  /** Returns whether a request of another node is kept from the local backend. */
  boolean blocksInbound(RequestFingerprint request) {
    long now = clockMillis.getAsLong();
    synchronized (this) {
      boolean isBlocked = registry.isQuarantined(request) && !registry.isTrialDue(now, request);
      if (isBlocked) {
        refusedCount.incrementAndGet();
      }
      return isBlocked;
    }
  }

  /** Records that the local backend crashed while running these requests. */
  synchronized void recordBackendCrash(
      BackendStart backend, Collection<RequestFingerprint> running) {
    Set<RequestFingerprint> quarantinedBefore = quarantinedAmong(running);
    unsentReports.addAll(registry.recordCrash(clockMillis.getAsLong(), backend, running));
    publishChanges(quarantinedBefore, running);
  }

  /** Records that a request completed successfully on the local backend. */
  synchronized void recordSuccess(RequestFingerprint request) {
    boolean quarantinedBefore = registry.isQuarantined(request);
    Optional<SuspectReport> cleared = registry.recordSuccess(clockMillis.getAsLong(), request);
    if (cleared.isPresent()) {
      unsentReports.add(cleared.get());
      publishChanges(quarantinedBefore ? Set.of(request) : Set.of(), List.of(request));
    }
  }

  /**
   * Merges the suspect reports of another node. Where this node knows more, its own reports are
   * queued for all nodes.
   */
  synchronized void merge(SuspectMessage message) {
    long now = clockMillis.getAsLong();
    List<SuspectReport> received = message.toLocalTimes(now);
    List<RequestFingerprint> affected = received.stream().map(SuspectReport::request).toList();
    Set<RequestFingerprint> quarantinedBefore = quarantinedAmong(affected);
    for (SuspectReport each : received) {
      registry.merge(now, each).stream().skip(1).forEach(unsentReports::add);
    }
    publishChanges(quarantinedBefore, affected);
  }

  private Set<RequestFingerprint> quarantinedAmong(Collection<RequestFingerprint> requests) {
    Set<RequestFingerprint> quarantined = new HashSet<>();
    for (RequestFingerprint request : requests) {
      if (registry.isQuarantined(request)) {
        quarantined.add(request);
      }
    }
    return quarantined;
  }

  private void publishChanges(
      Set<RequestFingerprint> quarantinedBefore, Collection<RequestFingerprint> affected) {
    updateSummary();
    for (RequestFingerprint request : affected) {
      boolean isQuarantined = registry.isQuarantined(request);
      if (isQuarantined != quarantinedBefore.contains(request)) {
        events.requestHeld(request, isQuarantined, registry.crashCount(request));
        quarantinedTargets = registry.quarantinedTargets();
      }
    }
  }

  /** Removes expired suspect reports. */
  synchronized void removeExpired() {
    if (suspectCount > 0) {
      registry.removeExpired(clockMillis.getAsLong());
      quarantinedTargets = registry.quarantinedTargets();
      updateSummary();
    }
  }

  private void updateSummary() {
    suspectCount = registry.size();
    digest = registry.digest();
  }

  /** Returns the suspect reports recorded since the last call, to be sent to the other nodes. */
  synchronized List<SuspectReport> drainUnsent() {
    List<SuspectReport> drained = List.copyOf(unsentReports);
    unsentReports.clear();
    return drained;
  }

  /** Returns all suspect reports, for a node that lacks some. */
  synchronized List<SuspectReport> allReports() {
    return registry.snapshot();
  }

  /** Returns the quarantined requests for operators, one per line. */
  synchronized String statusPage() {
    long now = clockMillis.getAsLong();
    StringBuilder lines = new StringBuilder();
    for (SuspectReport each : registry.snapshot()) {
      if (registry.isQuarantined(each.request())) {
        lines.append(statusLine(now, each));
      }
    }
    return lines.toString();
  }

  private static String statusLine(long nowMillis, SuspectReport quarantined) {
    LongSummaryStatistics crashTimes =
        quarantined.marks().stream()
            .filter(mark -> !mark.cleared())
            .collect(Collectors.summarizingLong(CrashMark::atMillis));
    long secondsSinceLast = (nowMillis - crashTimes.getMax()) / MILLIS_PER_SECOND;
    return "%s held, crashed %d backends, the last %d s ago%n"
        .formatted(quarantined.request().text(), crashTimes.getCount(), secondsSinceLast);
  }

  /**
   * Returns a digest that is equal on all nodes with equal suspect reports; 0 if there are none.
   */
  long digest() {
    return digest;
  }

  /** Returns the number of requests suspected of a crash, whether or not they are quarantined. */
  int suspectCount() {
    return suspectCount;
  }

  /**
   * Returns how often a request was refused as quarantined since the start, of clients and of other
   * nodes.
   */
  long refusedCount() {
    return refusedCount.get();
  }

  /** Returns the number of distinct targets of quarantined requests. */
  int quarantinedTargetCount() {
    return quarantinedTargets.size();
  }
}
