package io.umberpath.traffic.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/** One request under which back ends ended. Owner synchronizes. */
final class SuspectRequest {
  /** Marks kept; more would tell nothing. They fit one datagram. */
  private static final int MAX_MARKS = 64;

  /** Within this time every node in reach has heard of a third end, milliseconds. */
  private static final long PROPAGATION_MILLIS = 5_000;

  /** How long a single end is remembered, and several of a request not yet held, milliseconds. */
  private static final long SINGLE_CRASH_EXPIRY_MILLIS = 600_000;

  private static final long SUSPECT_EXPIRY_MILLIS = 3_600_000;

  /** How long a request that is held is remembered after the last end, milliseconds: a day. */
  private static final long QUARANTINE_EXPIRY_MILLIS = 86_400_000;

  /**
   * Pauses before a request that is held is tried again, milliseconds: 1, 10 and 100 minutes after
   * the last end. The service may have been mended; three more ends are the most that are borne.
   */
  private static final long[] TRIAL_DELAYS_MILLIS = {60_000, 600_000, 6_000_000};

  /** How long a trial may go without an outcome before another may begin, milliseconds. */
  private static final long TRIAL_TIMEOUT_MILLIS = 10_000;

  /** Constants of the finalizer of SplitMix64, which spreads the bits of the digest's parts. */
  private static final long MIX_1 = 0xbf58476d1ce4e5b9L;

  private static final long MIX_2 = 0x94d049bb133111ebL;
  private static final long HASH_FACTOR = 31;

  private final Map<Integer, CrashMark> marks = new HashMap<>();
  private final int quarantineThreshold;
  private long trialUntilMillis = Long.MIN_VALUE;
  private long digest;

  /**
   * Creates one against whom nothing is held yet.
   *
   * @param quarantineThreshold ends of back ends, none of them cleared, from which on it is held
   */
  SuspectRequest(int quarantineThreshold) {
    this.quarantineThreshold = quarantineThreshold;
  }

  /** Takes marks; returns those that are news. */
  List<CrashMark> merge(long nowMillis, Collection<CrashMark> received) {
    List<CrashMark> changed = received.stream().filter(this::mergeMark).toList();
    removeExpired(nowMillis);
    return changed.stream().filter(mark -> marks.containsKey(mark.crash())).toList();
  }

  private boolean mergeMark(CrashMark mark) {
    CrashMark known = marks.get(mark.crash());
    if (known == null && marks.size() >= MAX_MARKS) {
      return false;
    }
    CrashMark merged = known == null ? mark : known.merge(mark);
    marks.put(mark.crash(), merged);
    return known == null || known.cleared() != merged.cleared();
  }

  /** Clears all marks up to a time; returns those that were not cleared before. */
  List<CrashMark> clear(long untilMillis) {
    List<CrashMark> cleared =
        marks.values().stream()
            .filter(mark -> !mark.cleared() && mark.atMillis() <= untilMillis)
            .map(CrashMark::asCleared)
            .toList();
    cleared.forEach(mark -> marks.put(mark.crash(), mark));
    return cleared;
  }

  /** Ends that are held against the request. */
  int crashCount() {
    return (int) marks.values().stream().filter(mark -> !mark.cleared()).count();
  }

  boolean isQuarantined() {
    return crashCount() >= quarantineThreshold;
  }

  long lastCrashMillis() {
    return marks.values().stream().mapToLong(CrashMark::atMillis).max().orElse(Long.MIN_VALUE);
  }

  /** Drops marks that are too old; returns whether any is left. */
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

  /** Whether a request that is held may be tried again. */
  boolean isTrialDue(long nowMillis) {
    long[] crashMillis =
        marks.values().stream()
            .filter(mark -> !mark.cleared())
            .mapToLong(CrashMark::atMillis)
            .sorted()
            .toArray();
    long propagatedMillis = crashMillis[quarantineThreshold - 1] + PROPAGATION_MILLIS;
    int failedTrials =
        (int) LongStream.of(crashMillis).filter(crash -> crash > propagatedMillis).count();
    boolean hasTrialLeft = failedTrials < TRIAL_DELAYS_MILLIS.length;
    return hasTrialLeft
        && nowMillis >= crashMillis[crashMillis.length - 1] + TRIAL_DELAYS_MILLIS[failedTrials]
        && nowMillis >= trialUntilMillis;
  }

  void beginTrial(long nowMillis) {
    trialUntilMillis = nowMillis + TRIAL_TIMEOUT_MILLIS;
  }

  void clearMarks() {
    marks.clear();
  }

  /** By how much the digest of its marks has changed since the last call. */
  long digestChange(RequestFingerprint request) {
    long before = digest;
    digest = marks.values().stream().mapToLong(mark -> digest(request, mark)).sum();
    return digest - before;
  }

  private static long digest(RequestFingerprint request, CrashMark mark) {
    long mixed = request.target() * HASH_FACTOR + request.body();
    mixed = mixed * HASH_FACTOR + mark.crash();
    mixed = mixed * HASH_FACTOR + (mark.cleared() ? 1 : 2);
    mixed = (mixed ^ (mixed >>> 30)) * MIX_1;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_2;
    return mixed ^ (mixed >>> 31);
  }

  List<CrashMark> marks() {
    return List.copyOf(marks.values());
  }
}
