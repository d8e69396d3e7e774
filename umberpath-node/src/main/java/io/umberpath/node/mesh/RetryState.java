package io.umberpath.node.mesh;

import java.util.HashSet;
import java.util.Set;

/** What the attempts of one request have used so far. Thread-safe. */
final class RetryState {
  private int possiblyDelivered;
  private int overloadRefusals;
  private long toleratedWaitMillis;
  private final Set<String> failedBackends = new HashSet<>();
  private final Set<String> overloadedBackends = new HashSet<>();

  /** An attempt ended that may have arrived at a back end. */
  synchronized void recordPossiblyDelivered(String backendId) {
    possiblyDelivered++;
    failedBackends.add(backendId);
  }

  /** An attempt ended that certainly did not arrive at a back end. */
  synchronized void recordNotDelivered(String backendId) {
    failedBackends.add(backendId);
  }

  /** The node beside a back end refused because that is full. */
  synchronized void recordOverloadRefusal(String backendId) {
    overloadRefusals++;
    overloadedBackends.add(backendId);
  }

  /**
   * Back ends that the next attempt leaves out.
   *
   * @param alsoFull whether those that were full are left out too
   */
  synchronized Set<String> excludedBackends(boolean includeOverloaded) {
    Set<String> excluded = new HashSet<>(failedBackends);
    if (includeOverloaded) {
      excluded.addAll(overloadedBackends);
    }
    return excluded;
  }

  /** Notes the wait beyond which the next attempt is better refused than queued. */
  synchronized void setToleratedWaitMillis(long waitMillis) {
    toleratedWaitMillis = waitMillis;
  }

  /** Wait beyond which the attempt under way is better refused than queued, milliseconds. */
  synchronized long toleratedWaitMillis() {
    return toleratedWaitMillis;
  }

  /** Attempts that may have arrived at a back end. */
  synchronized int possiblyDelivered() {
    return possiblyDelivered;
  }

  /** Attempts refused by a node because its back end was full. */
  synchronized int overloadRefusals() {
    return overloadRefusals;
  }
}
