package io.umberpath.traffic.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/** One request under which back ends ended. Owner synchronizes. */
final class Suspect {
  /** Ends of back ends, none of them cleared, from which on a request is kept from all others. */
  static final int MARKS_TO_HOLD = 3;

  /** Marks kept; more would tell nothing. They fit one datagram. */
  private static final int MAX_MARKS = 64;

  /** Within this time every node in reach has heard of a third end, milliseconds. */
  private static final long KNOWN_MILLIS = 5_000;

  /** How long a single end is remembered, and several of a request not yet held, milliseconds. */
  private static final long SINGLE_MILLIS = 600_000;

  private static final long SEVERAL_MILLIS = 3_600_000;

  /** How long a request that is held is remembered after the last end, milliseconds: a day. */
  private static final long HELD_MILLIS = 86_400_000;

  /**
   * Pauses before a request that is held is tried again, milliseconds: 1, 10 and 100 minutes after
   * the last end. The service may have been mended; three more ends are the most that are borne.
   */
  private static final long[] TRIAL_PAUSES_MILLIS = {60_000, 600_000, 6_000_000};

  /** How long a trial may go without an outcome before another may begin, milliseconds. */
  private static final long TRIAL_MILLIS = 10_000;

  private final Map<Integer, CrashMark> marks = new HashMap<>();
  private long trialUntilMillis = Long.MIN_VALUE;

  /** Takes marks; returns those that are news. */
  List<CrashMark> take(long nowMillis, Collection<CrashMark> heard) {
    List<CrashMark> news = heard.stream().filter(this::merge).toList();
    forget(nowMillis);
    return news.stream().filter(mark -> marks.containsKey(mark.crash())).toList();
  }

  private boolean merge(CrashMark mark) {
    CrashMark known = marks.get(mark.crash());
    if (known == null && marks.size() >= MAX_MARKS) {
      return false;
    }
    CrashMark merged = known == null ? mark : known.mergedWith(mark);
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
  int weight() {
    return (int) marks.values().stream().filter(mark -> !mark.cleared()).count();
  }

  boolean isHeld() {
    return weight() >= MARKS_TO_HOLD;
  }

  long lastMillis() {
    return marks.values().stream().mapToLong(CrashMark::atMillis).max().orElse(Long.MIN_VALUE);
  }

  /** Drops marks that are too old; returns whether any is left. */
  boolean forget(long nowMillis) {
    marks.values().removeIf(mark -> !isCurrent(nowMillis, mark));
    return !marks.isEmpty();
  }

  private boolean isCurrent(long nowMillis, CrashMark mark) {
    int weight = weight();
    long kept = weight >= MARKS_TO_HOLD ? HELD_MILLIS : SEVERAL_MILLIS;
    return mark.atMillis() + (weight <= 1 ? SINGLE_MILLIS : kept) > nowMillis;
  }

  /** Whether a request that is held may be tried again. */
  boolean isTrialDue(long nowMillis) {
    long[] ends =
        marks.values().stream()
            .filter(mark -> !mark.cleared())
            .mapToLong(CrashMark::atMillis)
            .sorted()
            .toArray();
    long knownMillis = ends[MARKS_TO_HOLD - 1] + KNOWN_MILLIS;
    int failedTrials = (int) LongStream.of(ends).filter(end -> end > knownMillis).count();
    boolean isLeft = failedTrials < TRIAL_PAUSES_MILLIS.length;
    return isLeft
        && nowMillis >= ends[ends.length - 1] + TRIAL_PAUSES_MILLIS[failedTrials]
        && nowMillis >= trialUntilMillis;
  }

  void beginTrial(long nowMillis) {
    trialUntilMillis = nowMillis + TRIAL_MILLIS;
  }

  List<CrashMark> marks() {
    return List.copyOf(marks.values());
  }
}
