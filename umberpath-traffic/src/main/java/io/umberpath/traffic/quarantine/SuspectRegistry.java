package io.umberpath.traffic.quarantine;

import io.umberpath.model.routing.BackendStart;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Requests that were running when backends crashed, as far as this node knows: its own evidence
 * merged with that of other nodes. Merging is commutative and idempotent, so the order, number and
 * path of reports do not matter.
 *
 * <p>Every request that a crashed backend was running is a suspect, since the cause cannot be
 * identified among them. A request is quarantined, which keeps it from all backends, once three
 * backends have crashed while running it and it has succeeded nowhere: the cause is present at all
 * three crashes, while requests that merely ran at the same time rarely are, and these are cleared
 * when they succeed. The owner synchronizes access.
 */
public final class SuspectRegistry {
  /**
   * Upper bound on the suspects, some 200 bytes each. A crashed backend adds as many as it has
   * slots.
   */
  private static final int MAX_SUSPECTS = 1_024;

  /**
   * A success clears a request of crashes up to this long after it, milliseconds: a popular request
   * that is running at every crash of its service has usually succeeded just before.
   */
  private static final long SUCCESS_WINDOW_MILLIS = 10_000;

  /** Crashes from which a success is reported to other nodes; a single crash has no effect. */
  private static final int MIN_MARKS_TO_CLEAR = 2;

  /** Suspects evicted at a time, since finding them requires sorting all. */
  private static final int EVICTION_BATCH = MAX_SUSPECTS / 8;

  private final Map<RequestFingerprint, SuspectRequest> suspects = new HashMap<>();
  private final RecentSuccesses successes = new RecentSuccesses();
  private final int quarantineThreshold;
  private final Set<RequestFingerprint> quarantined = new HashSet<>();
  private long digest;

  /**
   * Creates an empty registry.
   *
   * @param quarantineThreshold crashes from which a request is quarantined
   */
  public SuspectRegistry(int quarantineThreshold) {
    this.quarantineThreshold = quarantineThreshold;
  }

  /**
   * Records a crash of a backend.
   *
   * @param backend the start that crashed; three starts with one id are three crashes
   * @param running the requests that it was running
   * @return changes to report to the other nodes
   */
  public List<SuspectReport> recordCrash(
      long nowMillis, BackendStart backend, Collection<RequestFingerprint> running) {
    int crashId = Objects.hash(backend.id(), backend.startTimeMillis());
    CrashMark mark = new CrashMark(crashId, nowMillis, false);
    List<SuspectReport> changes = new ArrayList<>();
    for (RequestFingerprint request : running) {
      changes.addAll(merge(nowMillis, new SuspectReport(request, List.of(mark))));
    }
    return changes;
  }

  /**
   * Records a success of a request at this node's backend.
   *
   * @return change to report to the other nodes
   */
  public Optional<SuspectReport> recordSuccess(long nowMillis, RequestFingerprint request) {
    successes.add(nowMillis, request);
    SuspectRequest suspect = suspects.get(request);
    return suspect == null ? Optional.empty() : clear(request, suspect, nowMillis);
  }

  private Optional<SuspectReport> clear(
      RequestFingerprint request, SuspectRequest suspect, long untilMillis) {
    if (suspect.crashCount() < MIN_MARKS_TO_CLEAR) {
      return Optional.empty();
    }
    List<CrashMark> cleared = suspect.clear(untilMillis);
    updateDerivedState(request, suspect);
    return cleared.isEmpty() ? Optional.empty() : Optional.of(new SuspectReport(request, cleared));
  }

  /**
   * Merges a report from another node.
   *
   * @return what changed, plus what this node knows against it; empty if nothing changed
   */
  public List<SuspectReport> merge(long nowMillis, SuspectReport received) {
    RequestFingerprint request = received.request();
    SuspectRequest suspect =
        suspects.getOrDefault(request, new SuspectRequest(quarantineThreshold));
    List<CrashMark> changed = suspect.merge(nowMillis, received.marks());
    if (changed.isEmpty()) {
      return List.of();
    }
    suspects.put(request, suspect);
    updateDerivedState(request, suspect);
    List<SuspectReport> changes = new ArrayList<>(List.of(new SuspectReport(request, changed)));
    if (successes.containsSince(suspect.lastCrashMillis() - SUCCESS_WINDOW_MILLIS, request)) {
      clear(request, suspect, suspect.lastCrashMillis()).ifPresent(changes::add);
    }
    if (suspects.size() > MAX_SUSPECTS) {
      evictLeastSuspect();
    }
    return changes;
  }

  /** Updates the digest and the quarantined set after a suspect has changed. */
  private void updateDerivedState(RequestFingerprint request, SuspectRequest suspect) {
    digest += suspect.digestChange(request);
    if (suspect.isQuarantined()) {
      quarantined.add(request);
    } else {
      quarantined.remove(request);
    }
  }

  /** Evicts the suspects with the fewest crashes, and of these the ones with the oldest. */
  private void evictLeastSuspect() {
    List<RequestFingerprint> least =
        suspects.entrySet().stream()
            .sorted(
                Comparator.comparingInt(
                        (Map.Entry<RequestFingerprint, SuspectRequest> each) ->
                            each.getValue().crashCount())
                    .thenComparingLong(each -> each.getValue().lastCrashMillis()))
            .limit(EVICTION_BATCH)
            .map(Map.Entry::getKey)
            .toList();
    least.forEach(this::remove);
  }

  private void remove(RequestFingerprint request) {
    SuspectRequest removed = suspects.remove(request);
    removed.clearMarks();
    updateDerivedState(request, removed);
  }

  /** Whether a request is quarantined. */
  public boolean isQuarantined(RequestFingerprint request) {
    return quarantined.contains(request);
  }

  /** Crashes of a request that are not cleared. */
  public int crashCount(RequestFingerprint request) {
    SuspectRequest suspect = suspects.get(request);
    return suspect == null ? 0 : suspect.crashCount();
  }

  /** Whether a quarantined request may be tried once more. */
  public boolean isTrialDue(long nowMillis, RequestFingerprint request) {
    return isQuarantined(request) && suspects.get(request).isTrialDue(nowMillis);
  }

  /** For how long a trial of a quarantined request has been due, milliseconds; 0 if it is not. */
  public long trialOverdueMillis(long nowMillis, RequestFingerprint request) {
    return isQuarantined(request)
        ? Math.max(0, nowMillis - suspects.get(request).trialDueMillis())
        : 0;
  }

  /** Records that a quarantined request is tried once more. */
  public void beginTrial(long nowMillis, RequestFingerprint request) {
    suspects.get(request).beginTrial(nowMillis);
  }

  /** Targets of the quarantined requests; see {@link RequestFingerprint#target}. */
  public Set<Long> quarantinedTargets() {
    return quarantined.stream()
        .map(RequestFingerprint::target)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Number of suspects. */
  public int size() {
    return suspects.size();
  }

  /** The whole state, for a node that lacks some of it. */
  public List<SuspectReport> snapshot() {
    return suspects.entrySet().stream()
        .map(each -> new SuspectReport(each.getKey(), each.getValue().marks()))
        .toList();
  }

  /** Removes expired crashes. */
  public void removeExpired(long nowMillis) {
    List<RequestFingerprint> known = List.copyOf(suspects.keySet());
    for (RequestFingerprint request : known) {
      SuspectRequest suspect = suspects.get(request);
      if (suspect.removeExpired(nowMillis)) {
        updateDerivedState(request, suspect);
      } else {
        remove(request);
      }
    }
  }

  /** Digest of the state: equal on nodes with equal state; 0 if it is empty. */
  public long digest() {
    return digest;
  }
}
