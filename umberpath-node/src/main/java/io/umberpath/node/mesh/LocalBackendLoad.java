package io.umberpath.node.mesh;

import io.umberpath.node.proxy.SlotGate;
import io.umberpath.traffic.routing.BackendLoad;
import java.util.function.LongSupplier;

/** Load of the backend beside this node and of the link to this machine. Thread-safe. */
final class LocalBackendLoad {
  private static final long MICROS_PER_MILLI = 1_000;

  private final LocalBackend backend;
  private final SlotGate admissionQueue;
  private final BodyUploadScheduler uploads;
  private final LocalBackendFailures failures;
  private final LongSupplier clockMillis;

  LocalBackendLoad(
      LocalBackend backend,
      SlotGate admissionQueue,
      BodyUploadScheduler uploads,
      LocalBackendFailures failures,
      LongSupplier clockMillis) {
    this.backend = backend;
    this.admissionQueue = admissionQueue;
    this.uploads = uploads;
    this.failures = failures;
    this.clockMillis = clockMillis;
  }

  /**
   * Returns the load of the backend that other nodes are told. The time until a rate limit allows
   * the next start is stated as the queue that would take as long: an idle backend that may start
   * nothing would look like the best choice.
   */
  BackendLoad reported() {
    BackendLoad load = current();
    double waitMillis =
        backend.rateLimiter().waitMillis(clockMillis.getAsLong(), admissionQueue.queued());
    if (waitMillis <= 0 || load.serviceMicros() <= 0) {
      return load;
    }
    double equivalentQueue = waitMillis * MICROS_PER_MILLI * load.slots() / load.serviceMicros();
    return load.withQueued((int) Math.max(load.queued(), Math.ceil(equivalentQueue)));
  }

  /** Returns the load of the backend. */
  BackendLoad current() {
    int slownessPercent = (int) Math.round(backend.speed().slowdown() * BackendLoad.USUAL_PERCENT);
    long serviceMicros = admissionQueue.meanServiceMicros();
    int slots =
        backend.startLimiter().usableSlots(clockMillis.getAsLong(), backend.slots(), serviceMicros);
    return new BackendLoad(
        admissionQueue.running(),
        admissionQueue.queued(),
        slots,
        serviceMicros,
        slownessPercent,
        0,
        backend.startTimeMillis(),
        failures.percent(clockMillis.getAsLong()),
        uploads.load());
  }

  /** Returns the number of request bodies that are being received. */
  int activeUploads() {
    return uploads.activeCount();
  }

  /** Returns the number of request bodies that wait for the link. */
  int queuedUploads() {
    return uploads.queuedCount();
  }

  /** Returns the load as text for logs. */
  String describe() {
    return "%s, uploads active %d, queued %d"
        .formatted(current().encode(), activeUploads(), queuedUploads());
  }
}
