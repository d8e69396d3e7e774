package io.umberpath.traffic.load;

import io.umberpath.traffic.routing.RouteMeans;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How fast one start of a back end works at this moment against its usual speed: by what it says of
 * itself, as long as that tells the times of its answers better than nothing does, and by the ages
 * of what runs there. Owner synchronizes.
 */
public final class BackendSpeed {
  /** What a back end may say of itself at most, either way; a false statement does no more harm. */
  private static final double MAX_FACTOR = 10;

  /** Time over which its usual speed is taken, milliseconds: many moments of slowness. */
  private static final double USUAL_FACTOR_MILLIS = 10_000;

  /** Statements kept: those that come while one request runs. */
  private static final int MAX_STATEMENTS = 64;

  /** Weight of one answer in how far statements, and times without them, have been off. */
  private static final double ERROR_WEIGHT = 0.03;

  /** Answers after which statements may be found worse than none. */
  private static final int MIN_COMPARISONS = 20;

  /**
   * How much further off times are with statements than without from which on they are not used:
   * where they tell little either way, chance would else decide anew with each answer.
   */
  private static final double DISTRUST_RATIO = 1.15;

  private static final double MICROS_PER_MILLI = 1_000;

  private record StatedFactor(long atMillis, double factor) {}

  private final Deque<StatedFactor> recentStatements = new ArrayDeque<>();
  private final DecayingSlowdown deviation = new DecayingSlowdown();
  private final RouteMeans plainTimes = new RouteMeans(1);
  private final RouteMeans usualTimes = new RouteMeans(1);
  private long statementCount;
  private double usualFactor = 1;
  private double plainError;
  private double statedError;
  private int comparisons;
  private boolean trusted = true;

  /** Takes what the back end said with an answer that has just come. */
  public void stated(long nowMillis, BackendStatement statement) {
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
   * An answer has come, whose statement has been taken; learns from it whether statements tell.
   *
   * @param micros how long the request ran
   * @return how long it would have run at the usual speed, microseconds
   */
  public long answered(long nowMillis, String route, long micros) {
    long usualMicros =
        Math.max(1, Math.round(normalizedMillis(nowMillis, micros) * MICROS_PER_MILLI));
    if (plainTimes.expected(route) > 0 && usualTimes.expected(route) > 0) {
      comparisons++;
      double weight = Math.max(ERROR_WEIGHT, 1.0 / comparisons);
      plainError += weight * (logError(micros, plainTimes.expected(route)) - plainError);
      statedError += weight * (logError(usualMicros, usualTimes.expected(route)) - statedError);
      updateTrust();
    }
    plainTimes.add(route, micros);
    usualTimes.add(route, usualMicros);
    return trusted ? usualMicros : micros;
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

  /** The time that has passed, each part of it as long as it would have been at usual speed. */
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

  /** Whether what the back end says tells how long its work takes, as far as has been seen. */
  public boolean isBelieved() {
    return trusted;
  }

  /**
   * The factor by which work takes longer now than usual.
   *
   * @param ageFactor the same as the ages of what runs there show it, see {@link
   *     io.umberpath.traffic.routing.Slowness}; overrules a back end that says less
   */
  public double slowness(long nowMillis, double ageFactor) {
    double statedFactor = trusted ? deviation.factorAt(nowMillis) : 1;
    return ageFactor > 1 ? Math.max(statedFactor, ageFactor) : statedFactor;
  }

  /** How far times have been off with statements, and without them, for a log line. */
  public String errors() {
    return "off by %.2f with statements, by %.2f without".formatted(statedError, plainError);
  }
}
