package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Tier;
import io.umberpath.model.Verdict.Reason;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.AdmissionController.Decision.Admitted;
import io.umberpath.traffic.AdmissionController.Decision.Queued;
import io.umberpath.traffic.AdmissionController.Decision.Refused;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class DueOrderAdmissionControllerTest {
  private static final long FAR_DEADLINE_MILLIS = 1_000_000;

  private final ColdStartLimiter coldStartLimiter =
      new ColdStartLimiter(new ColdStartLimiter.Bounds(1, 0), -10_000);

  /** Two slots of 10 ms. */
  private final AdmissionController controller =
      AdmissionControllers.createInDueOrder(
          new AdmissionSettings(2, 6, 4, 10_000, 20, 5_000), coldStartLimiter);

  private static AdmissionRequest request(long id, long dueMillis) {
    return new AdmissionRequest(
        id, "", Tier.STANDARD, FAR_DEADLINE_MILLIS, 0, FAR_DEADLINE_MILLIS, dueMillis);
  }

  private void fillSlots() {
    controller.submit(0, request(-1, 0));
    controller.submit(0, request(-2, 0));
  }

  @Test
  void admitsInDueOrder() {
    fillSlots();
    controller.submit(0, request(1, 600));
    controller.submit(0, request(2, 60));
    controller.submit(0, request(3, 300));

    assertThat(controller.release(1, -1, 10_000)).containsExactly(new Admitted(2));
    assertThat(controller.release(1, -2, 10_000)).containsExactly(new Admitted(3));
    assertThat(controller.release(2, 2, 10_000)).containsExactly(new Admitted(1));
  }

  @Test
  void onlyRequestsDueEarlierCountTowardsTheWait() {
    fillSlots();
    controller.submit(0, request(1, 600));
    controller.submit(0, request(2, 600));
    controller.submit(0, request(3, 600));

    AdmissionRequest urgent =
        new AdmissionRequest(4, "", Tier.STANDARD, FAR_DEADLINE_MILLIS, 0, 5, 60);
    AdmissionRequest patient =
        new AdmissionRequest(5, "", Tier.STANDARD, FAR_DEADLINE_MILLIS, 0, 5, 700);

    assertThat(controller.submit(0, urgent)).containsExactly(new Queued(4));
    assertThat(controller.submit(0, patient).get(0)).isInstanceOf(Refused.class);
  }

  @Test
  void refusesARequestThatCannotFinishBeforeItsDeadline() {
    fillSlots();

    AdmissionRequest request =
        new AdmissionRequest(1, "", Tier.STANDARD, 50, 60_000, FAR_DEADLINE_MILLIS, 50);

    assertThat(controller.submit(0, request).get(0))
        .isEqualTo(new Refused(1, Reason.OVERLOADED, 20));
  }

  @Test
  void refusesAQueuedRequestThatCanNoLongerMeetItsDeadline() {
    fillSlots();
    controller.submit(
        0, new AdmissionRequest(1, "", Tier.STANDARD, 100, 60_000, FAR_DEADLINE_MILLIS, 50));

    assertThat(controller.tick(30)).isEmpty();
    assertThat(controller.tick(41)).containsExactly(new Refused(1, Reason.DEADLINE, 0));
    assertThat(controller.queued()).isZero();
  }

  /** A request that takes 10 ms and is in time if its work is done by {@code targetMillis}. */
  private static AdmissionRequest withTarget(
      long id, long dueMillis, long targetMillis, long startByMillis) {
    return withTarget(id, dueMillis, targetMillis, -1, startByMillis);
  }

  private static AdmissionRequest withTarget(
      long id, long dueMillis, long targetMillis, long refuseByMillis, long startByMillis) {
    return new AdmissionRequest(
        id,
        Long.toString(id),
        "",
        Tier.STANDARD,
        FAR_DEADLINE_MILLIS,
        10_000,
        10_000,
        FAR_DEADLINE_MILLIS,
        dueMillis,
        targetMillis,
        refuseByMillis,
        startByMillis,
        false);
  }

  /** Late requests waited for seconds behind those on time, and took slots from later ones. */
  @Test
  void lateRequestIsRefusedWhileOthersCanMeetTheirTarget() {
    fillSlots();
    controller.submit(0, withTarget(1, 10, 30, 500));
    controller.submit(0, withTarget(2, 90, 100, 500));

    assertThat(controller.release(25, -1, 10_000))
        .containsExactly(new Refused(1, Reason.OVERLOADED, 20), new Admitted(2));
    assertThat(controller.release(25, -2, 10_000)).isEmpty();
  }

  @Test
  void lateRequestIsServedWhileNoOtherWaits() {
    fillSlots();
    controller.submit(0, withTarget(1, 200, 30, 500));

    assertThat(controller.release(25, -1, 10_000)).containsExactly(new Admitted(1));
  }

  @Test
  void aRequestThatCannotMeetItsTargetIsRefusedOnceOneOnTimeWaits() {
    fillSlots();
    assertThat(controller.submit(0, withTarget(1, 10, 12, 500))).containsExactly(new Queued(1));

    assertThat(controller.submit(0, withTarget(2, 90, 100, 500)))
        .containsExactly(new Queued(2), new Refused(1, Reason.OVERLOADED, 20));
    assertThat(controller.release(5, -1, 10_000)).containsExactly(new Admitted(2));
  }

  /** Urgent requests that were late waited behind all less urgent ones until they were refused. */
  @Test
  void lateUrgentRequestGoesBeforeLessUrgentOnes() {
    fillSlots();
    controller.submit(0, withTarget(1, 10, 30, 500));
    controller.submit(0, withTarget(2, 200, 100, 500));

    assertThat(controller.release(25, -1, 10_000)).containsExactly(new Admitted(1));
    assertThat(controller.release(25, -2, 10_000)).containsExactly(new Admitted(2));
  }

  /** A request that takes 10 ms, has to be done by 12 ms and is refused early rather than late. */
  private static AdmissionRequest refusedEarly(long id, long dueMillis) {
    return withTarget(id, dueMillis, 12, 100, 500);
  }

  @Test
  void lateUrgentRequestIsNotRefusedWhileOnlyLessUrgentOnesWait() {
    fillSlots();
    controller.submit(0, withTarget(1, 200, 100, 500));

    assertThat(controller.submit(0, refusedEarly(2, 20)).get(0)).isInstanceOf(Refused.class);
    assertThat(controller.submit(0, refusedEarly(3, 5))).containsExactly(new Queued(3));
  }

  @Test
  void lateUrgentRequestIsRefusedEarlyWhileUrgentOnesAreOnTime() {
    fillSlots();
    controller.submit(0, withTarget(1, 90, 100, 500));

    assertThat(controller.submit(0, refusedEarly(2, 5)).get(0)).isInstanceOf(Refused.class);
  }

  @Test
  void aRequestThatWaitedTooLongIsRefusedWithARetryAfter() {
    fillSlots();
    controller.submit(0, withTarget(1, 10, 30, 50));

    assertThat(controller.tick(50)).isEmpty();
    assertThat(controller.tick(51)).containsExactly(new Refused(1, Reason.OVERLOADED, 20));
    assertThat(controller.queued()).isZero();
  }

  @Test
  void aRequestThatWouldWaitTooLongIsRefusedImmediately() {
    fillSlots();
    for (int id = 1; id <= 4; id++) {
      controller.submit(0, withTarget(id, 10, 200, 500));
    }

    assertThat(controller.submit(0, withTarget(5, 90, 200, 20)).get(0)).isInstanceOf(Refused.class);
  }

  /** A request that takes 10 ms and for which another request holds a slot. */
  private static AdmissionRequest nested(long id, long dueMillis, long deadlineMillis) {
    return new AdmissionRequest(
        id,
        Long.toString(id),
        "",
        Tier.STANDARD,
        deadlineMillis,
        10_000,
        10_000,
        FAR_DEADLINE_MILLIS,
        dueMillis,
        dueMillis,
        -1,
        dueMillis,
        true);
  }

  @Test
  void nestedRequestsGoFirst() {
    fillSlots();
    controller.submit(0, withTarget(1, 10, 100, 500));
    controller.submit(0, nested(2, 90, 200));

    assertThat(controller.release(5, -1, 10_000)).containsExactly(new Admitted(2));
    assertThat(controller.release(5, -2, 10_000)).containsExactly(new Admitted(1));
  }

  @Test
  void nestedRequestsThatAreLateStillGoFirstAndWaitUntilTheirDeadline() {
    fillSlots();
    controller.submit(0, nested(1, 5, 60));
    controller.submit(0, withTarget(2, 90, 100, 500));

    assertThat(controller.tick(45)).isEmpty();
    assertThat(controller.release(50, -1, 10_000)).containsExactly(new Admitted(1));
  }

  @Test
  void nestedRequestsAreRefusedOnceTheirDeadlineCannotBeMet() {
    fillSlots();
    controller.submit(0, nested(1, 5, 60));

    assertThat(controller.tick(51)).containsExactly(new Refused(1, Reason.DEADLINE, 0));
  }

  private void runNestedUntil(long untilMillis) {
    for (long now = 0; now < untilMillis; now += 100) {
      controller.submit(now, nested(1_000 + now, now, FAR_DEADLINE_MILLIS));
      controller.release(now + 100, 1_000 + now, 100_000);
    }
  }

  /** Long requests took every slot, and each short nested request waited for the end of one. */
  @Test
  void nestedRequestDoesNotWaitBehindLongRequests() {
    runNestedUntil(5_000);
    controller.submit(5_000, request(1, 9_000));

    assertThat(controller.submit(5_000, request(2, 9_000))).containsExactly(new Queued(2));
    assertThat(controller.submit(5_010, nested(3, 5_100, 6_000))).containsExactly(new Admitted(3));
  }

  @Test
  void slotKeptForNestedRequestsIsUsedOnceTheyHaveStopped() {
    runNestedUntil(5_000);
    controller.submit(5_000, request(1, 9_000));
    controller.submit(5_000, request(2, 9_000));

    assertThat(controller.tick(5_100)).isEmpty();
    assertThat(controller.tick(5_800)).containsExactly(new Admitted(2));
  }

  @Test
  void theQueueIsBounded() {
    fillSlots();
    for (int id = 1; id <= 6; id++) {
      controller.submit(0, request(id, 600));
    }

    assertThat(controller.submit(0, request(7, 1)).get(0)).isInstanceOf(Refused.class);
  }

  @Test
  void aCancelledRequestIsNotAdmitted() {
    fillSlots();
    controller.submit(0, request(1, 600));
    controller.cancel(0, 1);

    assertThat(controller.release(1, -1, 10_000)).isEmpty();
  }

  @Test
  void drainingRefusesQueuedAndNewRequests() {
    fillSlots();
    controller.submit(0, request(1, 600));

    assertThat(controller.drain(0)).containsExactly(new Refused(1, Reason.DRAINING, 0));
    assertThat(controller.submit(0, request(2, 600)))
        .containsExactly(new Refused(2, Reason.DRAINING, 0));
    assertThat(controller.running()).isEqualTo(2);
  }

  private static AdmissionRequest randomRequest(SplittableRandom random, long id, long due) {
    int expectedMicros = random.nextInt(50_000);
    long target = due + random.nextInt(100);
    long startBy = due + random.nextInt(100);
    boolean nested = random.nextInt(4) == 0;
    return new AdmissionRequest(
        id,
        Long.toString(id),
        "",
        Tier.BASIC,
        due + 100,
        expectedMicros,
        expectedMicros,
        200,
        due,
        target,
        random.nextInt(3) == 0 ? FAR_DEADLINE_MILLIS : -1,
        startBy,
        nested);
  }

  /** Random requests and completions: slots are never exceeded and each request is decided once. */
  @Test
  void everyRequestIsDecidedOnceAndSlotsAreNeverExceeded() {
    SplittableRandom random = new SplittableRandom(11);
    Set<Long> running = new HashSet<>();
    Set<Long> waiting = new HashSet<>();
    Set<Long> nestedIds = new HashSet<>();
    NestedSlotReserve reserve = new NestedSlotReserve();
    long nextId = 1;
    for (long now = 0; now < 5_000; now++) {
      List<Decision> decisions;
      if (random.nextInt(3) > 0 || running.isEmpty()) {
        long id = nextId++;
        waiting.add(id);
        long due = now + random.nextInt(500);
        AdmissionRequest request = randomRequest(random, id, due);
        if (request.nested()) {
          nestedIds.add(id);
        }
        decisions = controller.submit(now, request);
      } else {
        long id = running.iterator().next();
        running.remove(id);
        reserve.recordEnd(now, id);
        decisions = controller.release(now, id, random.nextInt(40_000));
      }
      for (Decision decision : decisions) {
        if (!(decision instanceof Queued)) {
          assertThat(waiting.remove(decision.id())).isTrue();
        }
        if (decision instanceof Admitted) {
          running.add(decision.id());
          if (nestedIds.contains(decision.id())) {
            reserve.recordStart(now, decision.id());
          }
        }
      }
      assertThat(running).hasSizeLessThanOrEqualTo(2);
      assertThat(controller.running()).isEqualTo(running.size());
      assertThat(controller.queued()).isEqualTo(waiting.size());
      // Nested requests wait only for slots that are taken; others leave them one of the two.
      boolean isNestedWaiting = waiting.stream().anyMatch(nestedIds::contains);
      long others = running.stream().filter(id -> !nestedIds.contains(id)).count();
      assertThat(!isNestedWaiting || running.size() == 2).isTrue();
      boolean isSlotKept = others >= reserve.slotsForOthers(now, 2);
      assertThat(waiting.isEmpty() || running.size() == 2 || isSlotKept).isTrue();
    }
  }

  private void useUpTheColdLimitOfOneSecond() {
    coldStartLimiter.markCold(0, 3_000, 1);
    controller.submit(0, request(-1, 600));
    controller.release(10, -1, 10_000);
  }

  /** One request a second is admitted; 100 ms are reserved for the transit time. */
  @Test
  void aColdBackendIsRateLimitedThoughSlotsAreFree() {
    useUpTheColdLimitOfOneSecond();

    assertThat(controller.submit(10, request(1, 600))).containsExactly(new Queued(1));
    assertThat(controller.tick(1_099)).isEmpty();
    assertThat(controller.tick(1_100)).containsExactly(new Admitted(1));
  }

  @Test
  void theWaitForAColdBackendCountsTowardsTheTolerance() {
    useUpTheColdLimitOfOneSecond();

    AdmissionRequest impatient =
        new AdmissionRequest(2, "", Tier.STANDARD, FAR_DEADLINE_MILLIS, 0, 1_000, 700);

    assertThat(controller.submit(10, impatient).get(0)).isInstanceOf(Refused.class);
    assertThat(controller.submit(3_000, request(3, 700))).containsExactly(new Admitted(3));
  }
}
