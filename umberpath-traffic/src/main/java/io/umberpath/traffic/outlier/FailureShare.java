package io.umberpath.traffic.outlier;

import io.umberpath.traffic.DecayingValue;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * How often the answers of one back end fail, by what the node beside it sees of them: that node
 * sees all of its answers, a node that sends requests only a few. Health checks have no say: one
 * that lies either way changes nothing here. Owner synchronizes.
 */
public final class FailureShare {
  /**
   * Half-life of an answer, milliseconds: a back end that is well again shows it within seconds.
   */
  private static final double HALF_LIFE_MILLIS = 2_000;

  /** Answers from which on a share is stated: below, one failure would be an eighth or more. */
  private static final double MIN_ATTEMPTS = 8;

  private static final double PERCENT = 100;

  private final Map<AttemptResult, DecayingValue> counts = new EnumMap<>(AttemptResult.class);

  /** Creates one that has seen nothing. */
  public FailureShare() {
    for (AttemptResult result : AttemptResult.values()) {
      counts.put(result, new DecayingValue(HALF_LIFE_MILLIS));
    }
  }

  /** An attempt at the back end ended. */
  public void ended(long nowMillis, AttemptResult result) {
    counts.get(result).add(nowMillis, 1);
  }

  /**
   * Share of the attempts that failed lately, percent; 0 while too few are known. So it also goes
   * back to 0 where nothing is sent to the back end any more, which then is tried again.
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

  /** How many answers of each kind there were lately, older ones counted less, for a log line. */
  public String kinds(long nowMillis) {
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
