package io.umberpath.traffic.outlier;

import io.umberpath.traffic.DecayingValue;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Failure rate of one backend, measured by the node beside it: that node sees all responses of the
 * backend, a node that sends requests only a few. Health checks are not counted, so a wrong one has
 * no effect here. The owner synchronizes access.
 */
public final class FailureRate {
  /** Half-life of a result, milliseconds: a recovered backend shows it within seconds. */
  private static final double HALF_LIFE_MILLIS = 2_000;

  /** Attempts needed for a rate; with fewer, one failure would be an eighth or more. */
  private static final double MIN_ATTEMPTS = 8;

  private static final double PERCENT = 100;

  private final Map<AttemptResult, DecayingValue> counts = new EnumMap<>(AttemptResult.class);

  /** Creates a rate without attempts. */
  public FailureRate() {
    for (AttemptResult result : AttemptResult.values()) {
      counts.put(result, new DecayingValue(HALF_LIFE_MILLIS));
    }
  }

  /** Records the result of an attempt. */
  public void recordResult(long nowMillis, AttemptResult result) {
    counts.get(result).add(nowMillis, 1);
  }

  /**
   * Share of the recent attempts that failed, percent; 0 while there are too few. It also returns
   * to 0 when nothing is sent to the backend any more, so that the backend is tried again.
   */
  public int percent(long nowMillis) {
    double total = 0;
    double failed = 0;
    for (Map.Entry<AttemptResult, DecayingValue> each : counts.entrySet()) {
      double count = each.getValue().get(nowMillis);
      total += each.getKey() == AttemptResult.NO_EVIDENCE ? 0 : count;
      failed += isFailure(each.getKey()) ? count : 0;
    }
    return total < MIN_ATTEMPTS ? 0 : (int) Math.round(PERCENT * failed / total);
  }

  /** Decayed counts of each kind of result, for a log line. */
  public String describeCounts(long nowMillis) {
    return counts.entrySet().stream()
        .filter(each -> Math.round(each.getValue().get(nowMillis)) > 0)
        .map(each -> each.getKey() + " " + Math.round(each.getValue().get(nowMillis)))
        .collect(Collectors.joining(", "))
        .toLowerCase(Locale.ROOT)
        .replace('_', '-');
  }

  private static boolean isFailure(AttemptResult result) {
    return switch (result) {
      case SERVED, NO_EVIDENCE -> false;
      case SERVER_ERROR, SHED, BAD_ANSWER, LOST, TIMED_OUT -> true;
    };
  }
}
