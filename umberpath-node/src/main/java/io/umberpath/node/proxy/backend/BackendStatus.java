package io.umberpath.node.proxy.backend;

import io.umberpath.model.ObservedBackend.Phase;

/**
 * Phase and load shedding of the local backend, derived from health probes and responses.
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

  /** The phase to publish: draining if this node or the backend is draining. */
  public synchronized Phase phase() {
    return nodeDraining ? Phase.DRAINING : phase;
  }

  /** Whether new requests must be rejected because the backend or this node is draining. */
  public synchronized boolean isDraining() {
    return phase() == Phase.DRAINING;
  }

  /**
   * Remaining time for which the backend asked to receive no requests, milliseconds; 0 if it is not
   * shedding load.
   */
  public synchronized long remainingSheddingMillis(long nowMillis) {
    return shedding ? Math.max(0, sheddingUntilMillis - nowMillis) : 0;
  }

  /** Marks this node as draining, whatever phase the backend reports. */
  public synchronized void setNodeDraining() {
    nodeDraining = true;
  }

  /** Records the response to a request. */
  public synchronized void onResponse(
      int status, boolean draining, java.util.Optional<Long> retryAfterMillis, long nowMillis) {
    HealthReport report = new HealthReport(status, draining, retryAfterMillis, "");
    if (draining) {
      phase = Phase.DRAINING;
    }
    updateShedding(report, nowMillis);
  }

  /** Treats a backend that is not probed as ready, unless its responses reported another phase. */
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
