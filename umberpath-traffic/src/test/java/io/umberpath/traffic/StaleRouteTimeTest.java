package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Tier;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.routing.RouteAverages;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A busy backend, some of whose requests were slow for a time. */
final class StaleRouteTimeTest {
  private static final String CALL = "call";
  private static final int SLOTS = 2;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long CALL_DEADLINE_MILLIS = 600;
  private static final long CALL_WORK_MILLIS = 50;
  private static final long OTHER_WORK_MILLIS = 200;
  private static final long STEP_MILLIS = 10;
  private static final int STEPS_PER_CALL = 10;
  private static final int MIN_QUEUED = 3;

  private record Running(long id, boolean isCall, long endMillis) {}

  private final AdmissionController admission =
      AdmissionControllers.createInDueOrder(
          new AdmissionSettings(SLOTS, 24, 32, 50_000, 30, 2_000), StartLimiter.UNLIMITED);
  private final RouteAverages averages = new RouteAverages(5);
  private final List<Running> running = new ArrayList<>();
  private long nowMillis;
  private long nextId;
  private int servedCalls;

  private AdmissionRequest call(long id) {
    return new AdmissionRequest(
        id,
        Long.toString(id),
        "",
        Tier.STANDARD,
        nowMillis + CALL_DEADLINE_MILLIS,
        averages.average(CALL),
        averages.upperEstimate(CALL),
        Long.MAX_VALUE,
        nowMillis,
        nowMillis + CALL_DEADLINE_MILLIS,
        Long.MIN_VALUE,
        nowMillis + CALL_DEADLINE_MILLIS,
        true);
  }

  private void apply(List<Decision> decisions, List<Long> calls) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Admitted admitted) {
        boolean isCall = calls.contains(admitted.id());
        long workMillis = isCall ? CALL_WORK_MILLIS : OTHER_WORK_MILLIS;
        running.add(new Running(admitted.id(), isCall, nowMillis + workMillis));
      }
    }
  }

  private void run(long millis) {
    List<Long> calls = new ArrayList<>();
    for (int step = 0; step * STEP_MILLIS < millis; step++) {
      nowMillis += STEP_MILLIS;
      averages.expire(nowMillis);
      for (Running each : List.copyOf(running)) {
        if (each.endMillis() <= nowMillis) {
          running.remove(each);
          if (each.isCall()) {
            averages.add(nowMillis, CALL, CALL_WORK_MILLIS * MICROS_PER_MILLI);
            servedCalls++;
          }
          apply(admission.release(nowMillis, each.id(), 0), calls);
        }
      }
      while (admission.queued() < MIN_QUEUED) {
        apply(
            admission.submit(
                nowMillis, new AdmissionRequest(nextId++, "", Tier.STANDARD, nowMillis + 60_000)),
            calls);
      }
      if (step % STEPS_PER_CALL == 0) {
        calls.add(nextId);
        apply(admission.submit(nowMillis, call(nextId++)), calls);
      }
    }
  }

  /**
   * While others wait for a slot, a call that is expected to take longer than its deadline is
   * refused, so that no call shows how long calls take now.
   */
  @Test
  void callsOfABusyBackendAreAdmittedAgainAfterATimeOfSlowOnes() {
    for (int index = 0; index < 10; index++) {
      averages.add(nowMillis, CALL, 2 * CALL_DEADLINE_MILLIS * MICROS_PER_MILLI);
    }

    run(3_000);
    assertThat(servedCalls).isZero();

    run(7_000);
    assertThat(servedCalls).isGreaterThan(40);
  }
}
