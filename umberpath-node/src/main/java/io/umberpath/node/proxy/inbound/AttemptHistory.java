package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.loop.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The attempts of one exchange so far. Thread-safe. */
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

  /** An attempt begins; returns its number. */
  synchronized int begin(String originId) {
    count++;
    triedOrigins.add(originId);
    lastOrigin = originId;
    return count;
  }

  /** The attempt is handed to its connection. */
  synchronized void sent() {
    sentNanos = System.nanoTime();
    isResponseComplete = false;
  }

  /** The attempt's answer has been read whole; it may have lain unread. */
  synchronized void responseComplete() {
    responseNanos = Math.max(sentNanos, EventLoop.likelyArrivalNanos());
    isResponseComplete = true;
  }

  /** An attempt, or the exchange before its first, has failed. */
  synchronized void failed(Refusal refusal) {
    mayHaveRun |= refusal.verdict() instanceof Verdict.MayHaveRun;
    lastRefusal = refusal;
  }

  /** A refusal that does not say "not run" where an earlier attempt may have. */
  synchronized Refusal adjustForEarlierAttempts(Refusal refusal) {
    boolean isUncertain = mayHaveRun && refusal.verdict() instanceof Verdict.NotRun;
    return isUncertain ? Refusal.mayHaveRun(refusal.reason()) : refusal;
  }

  /** Attempts made so far. */
  public synchronized int count() {
    return count;
  }

  /**
   * Microseconds since the last attempt was handed to its connection, until its answer came if it
   * has; 0 if none was.
   */
  public synchronized long sinceSentMicros() {
    long endNanos = isResponseComplete ? responseNanos : System.nanoTime();
    return sentNanos == 0 ? 0 : (endNanos - sentNanos) / NANOS_PER_MICRO;
  }

  /** Milliseconds since the last attempt was handed to its connection, rounded up. */
  public synchronized long sentAgoMillis() {
    return (System.nanoTime() - sentNanos) / NANOS_PER_MILLI + 1;
  }

  /** How the last attempt ended, if one did. */
  public synchronized Optional<Refusal> lastRefusal() {
    return Optional.ofNullable(lastRefusal);
  }

  /** The origin of the last attempt; null before the first. */
  public synchronized String lastOrigin() {
    return lastOrigin;
  }

  /** Origins that have been tried. */
  public synchronized Set<String> triedOrigins() {
    return Set.copyOf(triedOrigins);
  }
}
