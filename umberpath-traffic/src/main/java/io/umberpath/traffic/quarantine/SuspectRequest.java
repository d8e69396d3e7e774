package io.umberpath.traffic.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/** A request that was running when backends crashed. The owner synchronizes access. */
final class SuspectRequest {
  /** Marks kept; more would add no information. They fit into one datagram. */
  private static final int MAX_MARKS = 64;

  /**
   * Time within which every reachable node has heard of the crash that starts the quarantine,
   * milliseconds. Crashes within it do not count as failed trials.
   */
  private static final long PROPAGATION_MILLIS = 5_000;

  /** How long a single crash is remembered, milliseconds. */
  private static final long SINGLE_CRASH_EXPIRY_MILLIS = 600_000;

  /** The same for several crashes of a request that is not quarantined. */
  private static final long SUSPECT_EXPIRY_MILLIS = 3_600_000;

  /** How long a quarantined request is remembered after its last crash, milliseconds: a day. */
  private static final long QUARANTINE_EXPIRY_MILLIS = 86_400_000;

  /**
   * Delays before a quarantined request is tried again, milliseconds: 1, 10 and 100 minutes after
   * the last crash. The service may have been fixed in between; at most three more crashes are
   * accepted.
   */
  private static final long[] TRIAL_DELAYS_MILLIS = {60_000, 600_000, 6_000_000};

  /** Time without an outcome after which another trial may begin, milliseconds. */
  private static final long TRIAL_TIMEOUT_MILLIS = 10_000;

  /** Constants of the finalizer of SplitMix64, which spreads the bits of the digest. */
  private static final long MIX_1 = 0xbf58476d1ce4e5b9L;

  private static final long MIX_2 = 0x94d049bb133111ebL;
  private static final long HASH_FACTOR = 31;

  private final Map<Integer, CrashMark> marks = new HashMap<>();
  private final int quarantineThreshold;
  private long trialUntilMillis = Long.MIN_VALUE;
  private long digest;

  /**
   * Creates a suspect without crashes.
   *
   * @param quarantineThreshold uncleared crashes from which the request is quarantined
   */
  SuspectRequest(int quarantineThreshold) {
    this.quarantineThreshold = quarantineThreshold;
  }

  /** Merges marks; returns those that changed something. */
  List<CrashMark> merge(long nowMillis, Collection<CrashMark> received) {
    List<CrashMark> changed = received.stream().filter(this::mergeMark).toList();
    removeExpired(nowMillis);
    return changed.stream().filter(mark -> marks.containsKey(mark.crashId())).toList();
  }

  private boolean mergeMark(CrashMark mark) {
    CrashMark known = marks.get(mark.crashId());
    if (known == null && marks.size() >= MAX_MARKS) {
      return false;
    }
    CrashMark merged = known == null ? mark : known.merge(mark);
    marks.put(mark.crashId(), merged);
    return known == null || known.cleared() != merged.cleared();
  }

  /** Clears all marks up to a time; returns those that were not cleared before. */
  List<CrashMark> clear(long untilMillis) {
    List<CrashMark> cleared =
        marks.values().stream()
            .filter(mark -> !mark.cleared() && mark.atMillis() <= untilMillis)
            .map(CrashMark::asCleared)
            .toList();
    cleared.forEach(mark -> marks.put(mark.crashId(), mark));
    return cleared;
  }

  /** Crashes of the request that are not cleared. */
  int crashCount() {
    return (int) marks.values().stream().filter(mark -> !mark.cleared()).count();
  }

  boolean isQuarantined() {
    return crashCount() >= quarantineThreshold;
  }

  long lastCrashMillis() {
    return marks.values().stream().mapToLong(CrashMark::atMillis).max().orElse(Long.MIN_VALUE);
  }

  /** Removes expired marks; returns whether any is left. */
  boolean removeExpired(long nowMillis) {
    marks.values().removeIf(mark -> !isCurrent(nowMillis, mark));
    return !marks.isEmpty();
  }

  private boolean isCurrent(long nowMillis, CrashMark mark) {
    int crashCount = crashCount();
    long expiryMillis =
        crashCount >= quarantineThreshold ? QUARANTINE_EXPIRY_MILLIS : SUSPECT_EXPIRY_MILLIS;
    return mark.atMillis() + (crashCount <= 1 ? SINGLE_CRASH_EXPIRY_MILLIS : expiryMillis)
        > nowMillis;
  }

  /** Whether a quarantined request may be tried again. */
  boolean isTrialDue(long nowMillis) {
    return nowMillis >= trialDueMillis() && nowMillis >= trialUntilMillis;
  }

  /** When a quarantined request may be tried again; {@link Long#MAX_VALUE} if never. */
  long trialDueMillis() {
    long[] crashMillis =
        marks.values().stream()
            .filter(mark -> !mark.cleared())
            .mapToLong(CrashMark::atMillis)
            .sorted()
            .toArray();
    long propagatedMillis = crashMillis[quarantineThreshold - 1] + PROPAGATION_MILLIS;
    int failedTrials =
        (int) LongStream.of(crashMillis).filter(crash -> crash > propagatedMillis).count();
    return failedTrials < TRIAL_DELAYS_MILLIS.length
        ? crashMillis[crashMillis.length - 1] + TRIAL_DELAYS_MILLIS[failedTrials]
        : Long.MAX_VALUE;
  }

  void beginTrial(long nowMillis) {
    trialUntilMillis = nowMillis + TRIAL_TIMEOUT_MILLIS;
  }

  void clearMarks() {
    marks.clear();
  }

  /** Change of the digest of its marks since the last call. */
  long digestChange(RequestFingerprint request) {
    long before = digest;
    digest = marks.values().stream().mapToLong(mark -> digest(request, mark)).sum();
    return digest - before;
  }

  private static long digest(RequestFingerprint request, CrashMark mark) {
    long mixed = request.target() * HASH_FACTOR + request.body();
    mixed = mixed * HASH_FACTOR + mark.crashId();
    mixed = mixed * HASH_FACTOR + (mark.cleared() ? 1 : 2);
    mixed = (mixed ^ (mixed >>> 30)) * MIX_1;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_2;
    return mixed ^ (mixed >>> 31);
  }

  List<CrashMark> marks() {
    return List.copyOf(marks.values());
  }
}
