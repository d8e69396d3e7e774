package io.umberpath.node.operator;

import io.umberpath.control.ControlStatus;
import io.umberpath.node.control.ControlService;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Requests the leader's view of the fleet, with at most one request in flight: concurrent callers
 * share its result. Active versions never decrease, so a shared result can only understate them.
 * Thread-safe.
 */
final class SharedFleetView {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final ControlService control;
  private final AtomicReference<CompletableFuture<List<ControlStatus.NodeView>>> inFlight =
      new AtomicReference<>();

  SharedFleetView(ControlService control) {
    this.control = control;
  }

  /** One entry per roster member; empty if no leader responds. Never completes exceptionally. */
  CompletableFuture<List<ControlStatus.NodeView>> get() {
    CompletableFuture<List<ControlStatus.NodeView>> started = new CompletableFuture<>();
    CompletableFuture<List<ControlStatus.NodeView>> existing =
        inFlight.compareAndExchange(null, started);
    if (existing != null) {
      return existing;
    }
    requestView()
        .whenComplete(
            (nodes, failure) -> {
              inFlight.set(null);
              started.complete(failure == null ? nodes : List.of());
            });
    return started;
  }

  private CompletableFuture<List<ControlStatus.NodeView>> requestView() {
    try {
      return control
          .fleetView(TIMEOUT)
          .toCompletableFuture()
          .thenApply(List::copyOf)
          .orTimeout(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (RuntimeException failure) {
      return CompletableFuture.failedFuture(failure);
    }
  }
}
