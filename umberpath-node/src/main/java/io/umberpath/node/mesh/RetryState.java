package io.umberpath.node.mesh;

import java.util.HashSet;
import java.util.Set;

/** Counts and outcomes of the attempts made so far for one request. Thread-safe. */
final class RetryState {
  private int possiblyDeliveredCount;
  private int overloadRefusalCount;
  private long toleratedWaitMillis;
  private final Set<String> failedBackends = new HashSet<>();
  private final Set<String> overloadedBackends = new HashSet<>();

  /** Records the end of an attempt whose request may have been delivered to the backend. */
  synchronized void recordPossiblyDelivered(String backendId) {
    possiblyDeliveredCount++;
    failedBackends.add(backendId);
  }

  /** Records the end of an attempt whose request was certainly not delivered to the backend. */
  synchronized void recordNotDelivered(String backendId) {
    failedBackends.add(backendId);
  }

  /** Records that the backend's node refused the request because the backend is full. */
  synchronized void recordOverloadRefusal(String backendId) {
    overloadRefusalCount++;
    overloadedBackends.add(backendId);
  }

  /**
   * Records that the backend's node refused the request because of a rate limit, which tells
   * nothing about the load of backends without a limit.
   */
  synchronized void recordRateLimitRefusal(String backendId) {
    overloadedBackends.add(backendId);
  }

  /**
   * Returns the backends that the next attempt must not choose.
   *
   * @param includeOverloaded whether backends that refused for overload are excluded too
   */
  synchronized Set<String> excludedBackends(boolean includeOverloaded) {
    Set<String> excluded = new HashSet<>(failedBackends);
    if (includeOverloaded) {
      excluded.addAll(overloadedBackends);
    }
    return excluded;
  }

  /** Sets the expected queueing time above which the next attempt is to be refused, not queued. */
  synchronized void setToleratedWaitMillis(long waitMillis) {
    toleratedWaitMillis = waitMillis;
  }

  /**
   * Returns the expected queueing time in milliseconds above which the current attempt is to be
   * refused, not queued.
   */
  synchronized long toleratedWaitMillis() {
    return toleratedWaitMillis;
  }

  /** Returns the number of attempts that may have been delivered to a backend. */
  synchronized int possiblyDeliveredCount() {
    return possiblyDeliveredCount;
  }

  /** Returns the number of attempts that a node refused because its backend was full. */
  synchronized int overloadRefusalCount() {
    return overloadRefusalCount;
  }
}
