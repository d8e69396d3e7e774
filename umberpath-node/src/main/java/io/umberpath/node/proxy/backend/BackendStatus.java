package io.umberpath.node.proxy.backend;

import io.umberpath.model.ObservedBackend.Phase;

/**
 * Phase and shedding of the back end beside this node, from its probes and its answers.
 * Thread-safe.
 */
public final class BackendStatus {
  private static final int FAILURES_UNTIL_DOWN = 2;
  private static final long MAX_SHEDDING_MILLIS = 10_000;

  private Phase phase = Phase.WARMING;
  private int consecutiveFailures;
  private boolean shedding;
  private long sheddingUntilMillis;
  private boolean nodeDraining;

  /** The phase to publish. */
  public synchronized Phase phase() {
    return nodeDraining ? Phase.DRAINING : phase;
  }

  /** Whether new work is to be refused because the back end, or this node, is leaving. */
  public synchronized boolean isDraining() {
    return phase() == Phase.DRAINING;
  }

  /** How long the back end still asks to be left alone; 0 if it does not. */
  public synchronized long sheddingMillis(long nowMillis) {
    return shedding ? Math.max(0, sheddingUntilMillis - nowMillis) : 0;
  }

  /** This node is leaving, whatever the back end says. */
  public synchronized void nodeDrains() {
    nodeDraining = true;
  }

  /** An answer to a request. */
  public synchronized void answered(
      int status, boolean draining, java.util.Optional<Long> retryAfterMillis, long nowMillis) {
    HealthReport report = new HealthReport(status, draining, retryAfterMillis, "");
    if (draining) {
      phase = Phase.DRAINING;
    }
    updateShedding(report, nowMillis);
  }

  /** Nothing is known but what its answers say. */
  synchronized void assumeReady() {
    if (phase == Phase.WARMING) {
      phase = Phase.READY;
    }
  }

  synchronized void onProbeResponse(HealthReport report, long nowMillis) {
    consecutiveFailures = 0;
    report.phase().ifPresent(reported -> phase = reported);
    if (report.phase().isEmpty() && phase == Phase.DOWN) {
      phase = Phase.WARMING;
    }
    updateShedding(report, nowMillis);
  }

  synchronized void onProbeFailure() {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_UNTIL_DOWN) {
      phase = Phase.DOWN;
    }
  }

  private void updateShedding(HealthReport report, long nowMillis) {
    if (report.isShedding()) {
      long millis = Math.min(MAX_SHEDDING_MILLIS, report.retryAfterMillis().orElse(0L));
      shedding = true;
      sheddingUntilMillis = nowMillis + millis;
    }
  }
}
