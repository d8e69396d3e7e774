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
 * The requests under which back ends ended, as far as this node knows: its own evidence and that of
 * the others, merged so that it does not matter in which order, how often and which way it comes.
 *
 * <p>All that a back end ran when it ended is suspected, since nobody can tell which of it was the
 * cause. A request is held, which keeps it from all back ends, once three have ended under it and
 * it ran to a good end nowhere: the cause is at each of the three, what only ran beside it seldom
 * is, and is cleared when it succeeds. Owner synchronizes.
 */
public final class SuspectLedger {
  /** Suspects remembered; some 200 bytes each. A back end that ends leaves as many as its slots. */
  private static final int MAX_SUSPECTS = 1_024;

  /**
   * A good end clears a request of the ends of back ends up to so long after it, milliseconds: of a
   * popular request that dies with all back ends of its service, another has just been served.
   */
  private static final long SUCCESS_WINDOW_MILLIS = 10_000;

  /** Ends from which on a good end is told to others; a single one decides nothing. */
  private static final int MIN_MARKS_TO_CLEAR = 2;

  /** Suspects that make room when there are too many: to look for them costs a sort of all. */
  private static final int EVICTION_BATCH = MAX_SUSPECTS / 8;

  private final Map<RequestFingerprint, SuspectRequest> suspects = new HashMap<>();
  private final RecentSuccesses successes = new RecentSuccesses();
  private final int quarantineThreshold;
  private final Set<RequestFingerprint> quarantined = new HashSet<>();
  private long digest;

  /**
   * Creates a ledger that holds nothing.
   *
   * @param quarantineThreshold ends of back ends from which on a request is held
   */
  public SuspectLedger(int quarantineThreshold) {
    this.quarantineThreshold = quarantineThreshold;
  }

  /**
   * A back end ended.
   *
   * @param backend the start of it that ended; three starts under one id are three ends
   * @param running the requests that it ran
   * @return what is to be told to the other nodes
   */
  public List<Suspicion> ended(
      long nowMillis, BackendStart backend, Collection<RequestFingerprint> running) {
    int crashId = Objects.hash(backend.id(), backend.bornMillis());
    CrashMark mark = new CrashMark(crashId, nowMillis, false);
    List<Suspicion> changes = new ArrayList<>();
    for (RequestFingerprint request : running) {
      changes.addAll(take(nowMillis, new Suspicion(request, List.of(mark))));
    }
    return changes;
  }

  /**
   * A request ran to a good end on this node's back end.
   *
   * @return what is to be told to the other nodes
   */
  public Optional<Suspicion> succeeded(long nowMillis, RequestFingerprint request) {
    successes.add(nowMillis, request);
    SuspectRequest suspect = suspects.get(request);
    return suspect == null ? Optional.empty() : clear(request, suspect, nowMillis);
  }

  private Optional<Suspicion> clear(
      RequestFingerprint request, SuspectRequest suspect, long untilMillis) {
    if (suspect.crashCount() < MIN_MARKS_TO_CLEAR) {
      return Optional.empty();
    }
    List<CrashMark> cleared = suspect.clear(untilMillis);
    updateDerivedState(request, suspect);
    return cleared.isEmpty() ? Optional.empty() : Optional.of(new Suspicion(request, cleared));
  }

  /**
   * Takes what another node tells.
   *
   * @return what of it is news, and what this node knows against it; empty if nothing is
   */
  public List<Suspicion> take(long nowMillis, Suspicion received) {
    RequestFingerprint request = received.request();
    SuspectRequest suspect =
        suspects.getOrDefault(request, new SuspectRequest(quarantineThreshold));
    List<CrashMark> changed = suspect.merge(nowMillis, received.marks());
    if (changed.isEmpty()) {
      return List.of();
    }
    suspects.put(request, suspect);
    updateDerivedState(request, suspect);
    List<Suspicion> changes = new ArrayList<>(List.of(new Suspicion(request, changed)));
    if (successes.containsSince(suspect.lastCrashMillis() - SUCCESS_WINDOW_MILLIS, request)) {
      clear(request, suspect, suspect.lastCrashMillis()).ifPresent(changes::add);
    }
    if (suspects.size() > MAX_SUSPECTS) {
      evictLeastSuspect();
    }
    return changes;
  }

  /** Keeps what is worked out of all suspects in step with one of them. */
  private void updateDerivedState(RequestFingerprint request, SuspectRequest suspect) {
    digest += suspect.digestChange(request);
    if (suspect.isQuarantined()) {
      quarantined.add(request);
    } else {
      quarantined.remove(request);
    }
  }

  /** Those with the least against them go first, and of them those of longest ago. */
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

  /** Whether a request is to be kept from all back ends. */
  public boolean isHeld(RequestFingerprint request) {
    return quarantined.contains(request);
  }

  /** Ends of back ends that are held against a request. */
  public int weight(RequestFingerprint request) {
    SuspectRequest suspect = suspects.get(request);
    return suspect == null ? 0 : suspect.crashCount();
  }

  /** Whether a request that is held may be tried once more. */
  public boolean isTrialDue(long nowMillis, RequestFingerprint request) {
    return isHeld(request) && suspects.get(request).isTrialDue(nowMillis);
  }

  /** A request that is held is tried once more. */
  public void beginTrial(long nowMillis, RequestFingerprint request) {
    suspects.get(request).beginTrial(nowMillis);
  }

  /** Targets of the requests that are held; see {@link RequestFingerprint#target}. */
  public Set<Long> heldTargets() {
    return quarantined.stream()
        .map(RequestFingerprint::target)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Requests that are suspected. */
  public int size() {
    return suspects.size();
  }

  /** All that is known, for a node that knows less. */
  public List<Suspicion> all() {
    return suspects.entrySet().stream()
        .map(each -> new Suspicion(each.getKey(), each.getValue().marks()))
        .toList();
  }

  /** Drops what is too old to count. */
  public void forget(long nowMillis) {
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

  /** The same on all nodes that know the same; 0 if nothing is known. */
  public long digest() {
    return digest;
  }
}
