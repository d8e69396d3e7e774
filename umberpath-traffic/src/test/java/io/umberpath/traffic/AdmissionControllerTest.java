package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.umberpath.model.Tier;
import io.umberpath.model.Verdict.Reason;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.AdmissionController.Decision.Admitted;
import io.umberpath.traffic.AdmissionController.Decision.Queued;
import io.umberpath.traffic.AdmissionController.Decision.Refused;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdmissionControllerTest {
  private static final long FAR_DEADLINE_MILLIS = 1_000_000;

  private final AdmissionController controller =
      AdmissionControllers.create(new AdmissionSettings(2, 6, 4, 10_000, 20, 5_000));

  private static AdmissionRequest request(long id, String tenant, Tier tier) {
    return new AdmissionRequest(id, tenant, tier, FAR_DEADLINE_MILLIS);
  }

  private void fillSlots() {
    controller.submit(0, request(-1, "other", Tier.STANDARD));
    controller.submit(0, request(-2, "other", Tier.STANDARD));
  }

  /** Two slots of 10 ms: a request that finds n before it waits for (n + 1) * 5 ms. */
  @ParameterizedTest
  @CsvSource({
    "0, 4, OVERLOADED",
    "0, 5, QUEUED",
    "2, 14, OVERLOADED",
    "2, 15, QUEUED",
    "0, 0, DEADLINE",
    "0, -1, DEADLINE"
  })
  void refusesImmediatelyIfTheDeadlineCannotBeMet(int before, long deadline, String expected) {
    fillSlots();
    for (int i = 0; i < before; i++) {
      controller.submit(0, request(i, "a", Tier.STANDARD));
    }
    List<Decision> decisions =
        controller.submit(0, new AdmissionRequest(9, "a", Tier.STANDARD, deadline));
    if (expected.equals("QUEUED")) {
      assertThat(decisions).containsExactly(new Queued(9));
    } else {
      Refused refused = (Refused) decisions.get(0);
      assertThat(refused.reason()).isEqualTo(Reason.valueOf(expected));
      assertThat(refused.retryAfterMillis()).isEqualTo(expected.equals("DEADLINE") ? 0 : 20);
    }
  }

  @Test
  void admitsToAFreeSlotDespiteSlowEarlierRequests() {
    controller.submit(0, request(1, "a", Tier.BASIC));
    controller.release(0, 1, 60_000_000);
    assertThat(controller.submit(0, new AdmissionRequest(2, "a", Tier.BASIC, 5)))
        .containsExactly(new Admitted(2));
  }

  @Test
  void refusesAQueuedRequestAtItsDeadline() {
    fillSlots();
    controller.submit(0, new AdmissionRequest(1, "a", Tier.STANDARD, 30));
    assertThat(controller.tick(29)).isEmpty();
    assertThat(controller.tick(30)).containsExactly(new Refused(1, Reason.DEADLINE, 0));
    assertThat(controller.queued()).isZero();
  }

  @Test
  void aFullQueueEvictsTheLowestTierAndReservesAPlaceForEach() {
    fillSlots();
    for (int i = 0; i < 4; i++) {
      assertThat(controller.submit(0, request(i, "a", Tier.BASIC))).containsExactly(new Queued(i));
    }
    assertThat(controller.submit(0, request(4, "a", Tier.BASIC)).get(0))
        .isInstanceOf(Refused.class);
    List<Decision> all = new ArrayList<>();
    for (int i = 10; i < 20; i++) {
      all.addAll(controller.submit(0, request(i, "a", Tier.PREMIUM)));
    }
    assertThat(all.stream().filter(Queued.class::isInstance)).hasSize(4);
    assertThat(all).anyMatch(decision -> decision instanceof Refused refused && refused.id() == 3);
    assertThat(controller.submit(0, request(30, "a", Tier.STANDARD)))
        .containsExactly(new Queued(30));
    assertThat(controller.queued()).isEqualTo(6);
  }

  @Test
  void aFullTierEvictsTheNewestRequestOfTheLargestTenant() {
    fillSlots();
    for (int i = 0; i < 4; i++) {
      controller.submit(0, request(i, "greedy", Tier.STANDARD));
    }
    List<Decision> decisions = controller.submit(0, request(9, "modest", Tier.STANDARD));
    assertThat(decisions.get(0)).isEqualTo(new Queued(9));
    assertThat(decisions.get(1).id()).isEqualTo(3);
  }

  @Test
  void cancelledDrainedAndUnknownRequestsNeverHoldASlot() {
    fillSlots();
    controller.submit(0, request(1, "a", Tier.STANDARD));
    controller.submit(0, request(2, "a", Tier.STANDARD));
    assertThat(controller.cancel(0, 1)).containsExactly(new Refused(1, Reason.CANCELLED, 0));
    assertThat(controller.cancel(0, -1)).isEmpty();
    assertThat(controller.drain(0)).containsExactly(new Refused(2, Reason.DRAINING, 0));
    assertThat(controller.submit(0, request(3, "a", Tier.PREMIUM)))
        .containsExactly(new Refused(3, Reason.DRAINING, 0));
    assertThat(controller.release(0, 77, 5)).isEmpty();
    assertThat(controller.running()).isEqualTo(2);
    controller.release(0, -1, 5);
    controller.release(0, -1, 5);
    assertThat(controller.running()).isEqualTo(1);
    assertThatThrownBy(() -> controller.resize(0, 0)).hasMessageContaining("slots is 0");
  }

  @Test
  void moreSlotsAdmitAtOnceAndFewerSlotsLetRunningRequestsFinish() {
    fillSlots();
    controller.submit(0, request(1, "a", Tier.STANDARD));
    assertThat(controller.resize(0, 3)).containsExactly(new Admitted(1));
    controller.submit(0, request(2, "a", Tier.STANDARD));
    assertThat(controller.resize(0, 1)).isEmpty();
    controller.release(0, 1, 5);
    controller.release(0, -1, 5);
    assertThat(controller.running()).isEqualTo(1);
    assertThat(controller.release(0, -2, 5)).containsExactly(new Admitted(2));
  }

  /**
   * One slot, all tiers and three tenants always waiting: checks the shares of tiers and tenants.
   */
  @Test
  void lowerTiersAndTenantsGetTheirBoundedShare() {
    AdmissionController singleSlotController =
        AdmissionControllers.create(new AdmissionSettings(1, 60, 4, 1_000, 20, 5_000));
    Map<Tier, Integer> byTier = new EnumMap<>(Tier.class);
    Map<String, Double> timeByTenant = new HashMap<>();
    Map<Long, AdmissionRequest> requests = new HashMap<>();
    Deque<Long> running = new ArrayDeque<>();
    long id = 0;
    for (int round = 0; round < 3_000; round++) {
      for (Tier tier : Tier.values()) {
        for (String tenant : List.of("slow", "b", "c")) {
          AdmissionRequest request = request(id++, tenant, tier);
          requests.put(request.id(), request);
          addAdmitted(singleSlotController.submit(0, request), running);
        }
      }
      AdmissionRequest ended = requests.get(running.poll());
      byTier.merge(ended.tier(), 1, Integer::sum);
      long used = ended.tenant().equals("slow") ? 4_000 : 1_000;
      timeByTenant.merge(ended.tenant(), (double) used, Double::sum);
      addAdmitted(singleSlotController.release(0, ended.id(), used), running);
    }
    assertThat(byTier.get(Tier.BASIC)).isBetween(3_000 / 7, 3_000 / 4);
    assertThat(byTier.get(Tier.STANDARD)).isBetween(3_000 / 7, 3_000 / 4);
    assertThat(timeByTenant.get("slow"))
        .isBetween(0.8 * timeByTenant.get("b"), 1.25 * timeByTenant.get("b"));
  }

  @Test
  void uncontendedUseDoesNotCountAgainstATenantLater() {
    for (int i = 100; i < 1_100; i++) {
      controller.submit(0, request(i, "busy", Tier.STANDARD));
      controller.release(0, i, 10_000);
    }
    fillSlots();
    for (int i = 0; i < 2; i++) {
      controller.submit(0, request(2 * i, "new", Tier.STANDARD));
      controller.submit(0, request(2 * i + 1, "busy", Tier.STANDARD));
    }
    controller.release(0, -1, 10_000);
    controller.release(0, -2, 10_000);
    controller.release(0, 0, 10_000);
    assertThat(controller.release(0, 1, 10_000)).containsExactly(new Admitted(3));
  }

  private static void addAdmitted(List<Decision> decisions, Deque<Long> running) {
    decisions.stream().filter(Admitted.class::isInstance).forEach(d -> running.add(d.id()));
  }

  /** Under random calls the limits hold and each request gets one final decision. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void limitsHoldUnderRandomCalls(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Set<Long> waiting = new HashSet<>();
    Set<Long> held = new HashSet<>();
    for (long step = 0; step < 5_000; step++) {
      List<Decision> decisions = step(random, step, held, waiting);
      for (Decision decision : decisions) {
        if (decision instanceof Queued) {
          assertThat(waiting.add(decision.id())).isTrue();
        } else if (decision instanceof Admitted) {
          waiting.remove(decision.id());
          assertThat(held.add(decision.id())).isTrue();
        } else {
          waiting.remove(decision.id());
          assertThat(held).doesNotContain(decision.id());
        }
      }
      assertThat(controller.running()).isEqualTo(held.size()).isLessThanOrEqualTo(2);
      assertThat(controller.queued()).isEqualTo(waiting.size()).isLessThanOrEqualTo(6);
    }
  }

  private List<Decision> step(
      SplittableRandom random, long step, Set<Long> held, Set<Long> waiting) {
    return switch (random.nextInt(8)) {
      case 0, 1, 2, 3 -> {
        Tier tier = Tier.values()[random.nextInt(3)];
        yield controller.submit(
            step,
            new AdmissionRequest(step, "t" + random.nextInt(4), tier, step + random.nextInt(60)));
      }
      case 4 -> controller.tick(step);
      case 5 -> waiting.isEmpty() ? List.of() : controller.cancel(step, waiting.iterator().next());
      default -> {
        if (held.isEmpty()) {
          yield List.of();
        }
        long id = held.iterator().next();
        held.remove(id);
        yield controller.release(step, id, random.nextInt(20_000));
      }
    };
  }

  @Test
  void refusesARequestWhoseWaitExceedsItsTolerance() {
    AdmissionController controller = AdmissionControllers.create(AdmissionSettings.forSlots(1));
    controller.submit(0, new AdmissionController.AdmissionRequest(1, "t", Tier.STANDARD, 60_000));
    controller.release(100, 1, 100_000);
    controller.submit(100, new AdmissionController.AdmissionRequest(2, "t", Tier.STANDARD, 60_000));

    assertThat(submitTolerating(controller, 3, 50))
        .isInstanceOf(AdmissionController.Decision.Refused.class);
    assertThat(submitTolerating(controller, 4, 150))
        .isInstanceOf(AdmissionController.Decision.Queued.class);
  }

  private static AdmissionController.Decision submitTolerating(
      AdmissionController controller, long id, long waitMillis) {
    return controller
        .submit(
            100,
            new AdmissionController.AdmissionRequest(
                id, "t", Tier.STANDARD, 60_000, 0, waitMillis, 60_000))
        .get(0);
  }

  @Test
  void refusesARequestThatCannotFinishBeforeItsDeadline() {
    AdmissionController controller = AdmissionControllers.create(AdmissionSettings.forSlots(1));
    controller.submit(0, new AdmissionController.AdmissionRequest(1, "t", Tier.STANDARD, 60_000));
    controller.release(10, 1, 10_000);
    controller.submit(10, new AdmissionController.AdmissionRequest(2, "t", Tier.STANDARD, 60_000));

    AdmissionController.Decision decision =
        controller
            .submit(
                10,
                new AdmissionController.AdmissionRequest(
                    3, "t", Tier.STANDARD, 110, 240_000, 1_000, 110))
            .get(0);

    assertThat(decision).isInstanceOf(AdmissionController.Decision.Refused.class);
  }
}
