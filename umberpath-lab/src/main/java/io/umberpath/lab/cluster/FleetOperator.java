package io.umberpath.lab.cluster;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.model.Version;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Carries changes through: repeats a call with the same request id while its outcome is unknown or
 * the fleet is busy. Applies through one node and waits through another. Not thread-safe.
 */
public final class FleetOperator implements AutoCloseable {
  private static final Duration BOUND = Duration.ofMinutes(3);
  private static final Duration CALL_BOUND = Duration.ofSeconds(20);
  private static final List<Status.Code> PASSING =
      List.of(
          Status.Code.UNAVAILABLE,
          Status.Code.UNKNOWN,
          Status.Code.DEADLINE_EXCEEDED,
          Status.Code.RESOURCE_EXHAUSTED);

  private final OperatorClient applying;
  private final OperatorClient waiting;

  /**
   * A change that is in force everywhere.
   *
   * @param version the version that first contains it
   * @param acceptedMicros time from the call to its acceptance, microseconds
   * @param inForceMicros time from the call until every member ran it, microseconds
   */
  public record Applied(Version version, long acceptedMicros, long inForceMicros) {}

  /** Talks to the given nodes. */
  public FleetOperator(LocalCluster cluster, NodeHandle applyThrough, NodeHandle waitThrough) {
    applying = cluster.operator(applyThrough);
    waiting = cluster.operator(waitThrough);
  }

  /** Applies a change and waits until it is in force in every member. */
  public Applied apply(ApplyRequest change) throws Exception {
    return carryThrough(
        "change " + change.getRequestId(), client -> client.apply(change, CALL_BOUND));
  }

  /** Starts or ends draining and waits until that is in force in every member. */
  public Applied drain(String requestId, String backendId, boolean draining) throws Exception {
    return carryThrough(
        "drain " + requestId, client -> client.drain(requestId, backendId, draining, CALL_BOUND));
  }

  private Applied carryThrough(
      String what, Function<OperatorClient, io.umberpath.api.v1.Version> call) throws Exception {
    long start = System.nanoTime();
    io.umberpath.api.v1.Version[] accepted = new io.umberpath.api.v1.Version[1];
    Conditions.await(what, BOUND, () -> succeeds(() -> accepted[0] = call.apply(applying)));
    long acceptedMicros = microsSince(start);
    Conditions.await(
        what + " in force", BOUND, () -> succeeds(() -> waiting.await(accepted[0], CALL_BOUND)));
    Version version = new Version(accepted[0].getEpoch(), accepted[0].getSequence());
    return new Applied(version, acceptedMicros, microsSince(start));
  }

  private static boolean succeeds(Runnable call) {
    try {
      call.run();
      return true;
    } catch (StatusRuntimeException failure) {
      if (!PASSING.contains(failure.getStatus().getCode())) {
        throw failure;
      }
      return false;
    }
  }

  private static long microsSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
  }

  @Override
  public void close() {
    applying.close();
    waiting.close();
  }
}
