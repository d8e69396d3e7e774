package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The attempts of one exchange so far, whose lock guards it. */
final class AttemptHistory {
  private static final long NANOS_PER_MICRO = 1_000;

  private final Set<String> triedOrigins = new HashSet<>();
  private int count;
  private String lastOrigin;
  private long sentNanos;
  private Refusal lastRefusal;
  private boolean mayHaveRun;

  /** An attempt begins; returns its number. */
  int begin(String originId) {
    count++;
    triedOrigins.add(originId);
    lastOrigin = originId;
    return count;
  }

  /** The attempt is handed to its connection. */
  void sent() {
    sentNanos = System.nanoTime();
  }

  /** An attempt, or the exchange before its first, has failed. */
  void failed(Refusal refusal) {
    mayHaveRun |= refusal.verdict() instanceof Verdict.MayHaveRun;
    lastRefusal = refusal;
  }

  /** A refusal that does not say "not run" where an earlier attempt may have. */
  Refusal truthful(Refusal refusal) {
    boolean overstates = mayHaveRun && refusal.verdict() instanceof Verdict.NotRun;
    return overstates ? Refusal.mayHaveRun(refusal.reason()) : refusal;
  }

  int count() {
    return count;
  }

  /** Microseconds since the last attempt was handed to its connection; 0 if none was. */
  long sinceSentMicros() {
    return sentNanos == 0 ? 0 : (System.nanoTime() - sentNanos) / NANOS_PER_MICRO;
  }

  Optional<Refusal> lastRefusal() {
    return Optional.ofNullable(lastRefusal);
  }

  /** The origin of the last attempt; null before the first. */
  String lastOrigin() {
    return lastOrigin;
  }

  Set<String> triedOrigins() {
    return Set.copyOf(triedOrigins);
  }
}
