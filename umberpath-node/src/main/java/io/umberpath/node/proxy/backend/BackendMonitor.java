package io.umberpath.node.proxy.backend;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ObservedBackend.Phase;
import io.umberpath.node.control.ControlService;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.settings.NodeSettings;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Probes the local backend, opens connections to it in advance, and publishes changes of its phase
 * and load to the fleet. A backend whose probe interval is 0 is not probed and is assumed to be
 * ready. {@link #tick} must be called from a single thread.
 */
public final class BackendMonitor {
  private static final String HEALTH_PATH = "/health";
  private static final long PROBING_DISABLED = 0;
  private static final int LOAD_STEP_PERCENT = 25;
  private static final int FULL_LOAD_PERCENT = 100;
  private static final long MIN_PROBE_TIMEOUT_MILLIS = 1_000;

  private final NodeSettings.Backend backend;
  private final ConnectionPool pool;
  private final ControlService control;
  private final BackendStatus status;
  private final IntSupplier loadPercent;
  private final LongSupplier clockMillis;
  private final long incarnation = System.currentTimeMillis();
  private HealthProbe probe;
  private long probeStartMillis;
  private Phase publishedPhase;
  private int publishedLoad;
  private long observationSequence;

  /**
   * Creates a monitor that has not probed yet.
   *
   * @param loadPercent running and queued requests in percent of the backend's slots
   */
  public BackendMonitor(
      NodeSettings.Backend backend,
      ConnectionPool pool,
      ControlService control,
      BackendStatus status,
      IntSupplier loadPercent,
      LongSupplier clockMillis) {
    this.backend = backend;
    this.pool = pool;
    this.control = control;
    this.status = status;
    this.loadPercent = loadPercent;
    this.clockMillis = clockMillis;
  }

  /** Starts a probe if one is due, and publishes changes of phase and load. */
  public void tick() {
    long now = clockMillis.getAsLong();
    if (backend.probeMillis() == PROBING_DISABLED) {
      status.assumeReady();
    } else if (probe == null || now - probeStartMillis >= backend.probeMillis()) {
      probe(now);
    }
    publish(now);
  }

  private void probe(long nowMillis) {
    long timeoutMillis = Math.max(MIN_PROBE_TIMEOUT_MILLIS, backend.probeMillis());
    boolean isWithinTimeout = probe != null && nowMillis - probeStartMillis < timeoutMillis;
    if (probe != null && probe.isInProgress()) {
      if (isWithinTimeout) {
        return;
      }
      if (probe.cancel()) {
        status.onProbeFailure();
      }
    }
    probeStartMillis = nowMillis;
    probe = new HealthProbe(pool, HEALTH_PATH, this::onProbeResponse, status::onProbeFailure);
    probe.start();
  }

  private void onProbeResponse(ResponseHead head, String body) {
    status.onProbeResponse(HealthReport.of(head, body), clockMillis.getAsLong());
    if (status.phase() == Phase.READY) {
      pool.preconnect(backend.slots());
    }
  }

  private void publish(long nowMillis) {
    Phase phase = status.phase();
    int load = loadPercent.getAsInt();
    if (status.remainingSheddingMillis(nowMillis) > 0) {
      load = Math.max(load, FULL_LOAD_PERCENT);
    }
    load = load / LOAD_STEP_PERCENT * LOAD_STEP_PERCENT;
    if (phase != publishedPhase || load != publishedLoad) {
      publishedPhase = phase;
      publishedLoad = load;
      observationSequence++;
      control.reportBackend(
          new ObservedBackend(backend.id(), incarnation, observationSequence, phase, load));
    }
  }
}
