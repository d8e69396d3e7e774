package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.loop.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The attempts that one exchange has made so far. Thread-safe. */
public final class AttemptHistory {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Set<String> triedOrigins = new HashSet<>();
  private int count;
  private String lastOrigin;
  private long sentNanos;
  private long responseNanos;
  private boolean isResponseComplete;
  private Refusal lastRefusal;
  private boolean mayHaveRun;

  /** Records the start of an attempt and returns its number, from 1. */
  synchronized int begin(String originId) {
    count++;
    triedOrigins.add(originId);
    lastOrigin = originId;
    return count;
  }

  /** Records that the attempt's request was written to its connection. */
  synchronized void recordSent() {
    sentNanos = System.nanoTime();
    isResponseComplete = false;
  }

  /**
   * Records that the attempt's response has been read completely. The time is an estimate of when
   * it arrived, since it may have been waiting in the socket.
   */
  synchronized void recordResponseComplete() {
    responseNanos = Math.max(sentNanos, EventLoop.estimatedArrivalNanos());
    isResponseComplete = true;
  }

  /** Records the failure of an attempt, or of the exchange before its first attempt. */
  synchronized void recordFailure(Refusal refusal) {
    mayHaveRun |= refusal.verdict() instanceof Verdict.MayHaveRun;
    lastRefusal = refusal;
  }

  /** Replaces "not run" by "may have run" in a refusal if an earlier attempt may have run. */
  synchronized Refusal adjustForEarlierAttempts(Refusal refusal) {
    boolean isUncertain = mayHaveRun && refusal.verdict() instanceof Verdict.NotRun;
    return isUncertain ? Refusal.mayHaveRun(refusal.reason()) : refusal;
  }

  /** Number of attempts made so far. */
  public synchronized int count() {
    return count;
  }

  /**
   * Microseconds from the last write of an attempt to the arrival of its complete response, or to
   * now if there is none yet; 0 if nothing was sent.
   */
  public synchronized long sinceSentMicros() {
    long endNanos = isResponseComplete ? responseNanos : System.nanoTime();
    return sentNanos == 0 ? 0 : (endNanos - sentNanos) / NANOS_PER_MICRO;
  }

  /** Milliseconds since the last attempt was written to its connection, rounded up. */
  public synchronized long sinceSentMillis() {
    return (System.nanoTime() - sentNanos) / NANOS_PER_MILLI + 1;
  }

  /** The failure of the last attempt that failed, if any. */
  public synchronized Optional<Refusal> lastRefusal() {
    return Optional.ofNullable(lastRefusal);
  }

  /** The origin of the last attempt; null before the first. */
  public synchronized String lastOrigin() {
    return lastOrigin;
  }

  /** The origins that have been tried. */
  public synchronized Set<String> triedOrigins() {
    return Set.copyOf(triedOrigins);
  }
}
