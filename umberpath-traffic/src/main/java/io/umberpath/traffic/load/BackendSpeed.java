package io.umberpath.traffic.load;

import io.umberpath.traffic.routing.RouteAverages;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Current speed of one start of a backend relative to its usual speed. Combines what the backend
 * states about itself, as long as that improves the predicted response times, with the ages of its
 * running requests. The owner synchronizes access.
 */
public final class BackendSpeed {
  /**
   * Bound on the factor that a backend may state, either way, to limit the effect of a false
   * statement.
   */
  private static final double MAX_FACTOR = 10;

  /** Averaging time of the usual speed, milliseconds; long enough to cover many short slowdowns. */
  private static final double USUAL_FACTOR_MILLIS = 10_000;

  /** Statements kept, enough for the duration of one request. */
  private static final int MAX_STATEMENTS = 64;

  /** Weight of one response in the prediction errors with and without statements. */
  private static final double ERROR_WEIGHT = 0.03;

  /** Compared responses before statements can lose trust. */
  private static final int MIN_COMPARISONS = 20;

  /**
   * Ratio of the errors with and without statements above which statements are not used. Above 1,
   * as otherwise noise would change the decision with each response where statements make little
   * difference.
   */
  private static final double DISTRUST_RATIO = 1.15;

  private static final double MICROS_PER_MILLI = 1_000;

  private record StatedFactor(long atMillis, double factor) {}

  private final Deque<StatedFactor> recentStatements = new ArrayDeque<>();
  private final DecayingSlowdown deviation = new DecayingSlowdown();
  private final RouteAverages plainTimes = new RouteAverages(1);
  private final RouteAverages normalizedTimes = new RouteAverages(1);
  private long statementCount;
  private double usualFactor = 1;
  private double plainError;
  private double statedError;
  private int comparisons;
  private boolean trusted = true;

  /** Applies the statement that came with a response. */
  public void updateStatement(long nowMillis, BackendStatement statement) {
    double statedFactor = statement.slownessPercent() / (double) BackendStatement.USUAL_PERCENT;
    double factor = Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, statedFactor));
    double sinceLastMillis =
        recentStatements.isEmpty() ? 0 : nowMillis - recentStatements.peekLast().atMillis();
    statementCount++;
    double weight =
        Math.max(1.0 / statementCount, 1 - Math.exp(-sinceLastMillis / USUAL_FACTOR_MILLIS));
    usualFactor += weight * (factor - usualFactor);
    recentStatements.addLast(new StatedFactor(nowMillis, factor));
    if (recentStatements.size() > MAX_STATEMENTS) {
      recentStatements.removeFirst();
    }
    deviation.update(nowMillis, factor / usualFactor);
  }

  /**
   * Records a response whose statement has already been applied, and updates the trust in
   * statements.
   *
   * @param micros how long the request ran, microseconds
   * @return how long it would have run at the usual speed, microseconds
   */
  public long recordResponse(long nowMillis, String route, long micros) {
    long normalizedMicros =
        Math.max(1, Math.round(normalizedMillis(nowMillis, micros) * MICROS_PER_MILLI));
    if (plainTimes.average(route) > 0 && normalizedTimes.average(route) > 0) {
      comparisons++;
      double weight = Math.max(ERROR_WEIGHT, 1.0 / comparisons);
      plainError += weight * (logError(micros, plainTimes.average(route)) - plainError);
      statedError +=
          weight * (logError(normalizedMicros, normalizedTimes.average(route)) - statedError);
      updateTrust();
    }
    plainTimes.add(route, micros);
    normalizedTimes.add(route, normalizedMicros);
    return trusted ? normalizedMicros : micros;
  }

  private void updateTrust() {
    if (trusted) {
      trusted = comparisons < MIN_COMPARISONS || statedError <= DISTRUST_RATIO * plainError;
    } else {
      trusted = statedError <= plainError;
    }
  }

  private static double logError(long micros, long expectedMicros) {
    return Math.abs(Math.log(Math.max(1, micros) / (double) expectedMicros));
  }

  /** Duration of the request normalized to the usual speed, piece by piece between statements. */
  private double normalizedMillis(long nowMillis, long micros) {
    double end = nowMillis;
    double begin = nowMillis - micros / MICROS_PER_MILLI;
    double sum = 0;
    for (var each = recentStatements.descendingIterator(); each.hasNext() && end > begin; ) {
      StatedFactor stated = each.next();
      double from = each.hasNext() ? Math.max(begin, stated.atMillis()) : begin;
      if (from < end) {
        sum += (end - from) * usualFactor / stated.factor();
        end = from;
      }
    }
    return sum + Math.max(0, end - begin);
  }

  /** Whether the statements of the backend are used. */
  public boolean isTrusted() {
    return trusted;
  }

  /**
   * Factor by which requests currently take longer than usual.
   *
   * @param ageFactor the same factor estimated from the ages of running requests, see {@link
   *     io.umberpath.traffic.routing.SlowdownDetector}; if above 1, it overrides a lower factor
   *     stated by the backend
   */
  public double slowdown(long nowMillis, double ageFactor) {
    double statedFactor = trusted ? deviation.factorAt(nowMillis) : 1;
    return ageFactor > 1 ? Math.max(statedFactor, ageFactor) : statedFactor;
  }

  /** Prediction errors with and without statements, for a log line. */
  public String describeErrors() {
    return "off by %.2f with statements, by %.2f without".formatted(statedError, plainError);
  }
}
