package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class LatencyAwareBalancerTest {
  private static final long NOW = 1_000_000;
  private static final String ROUTE = "read";
  private static final BackendEntry LOCAL = entry("near", "a");
  private static final BackendEntry SECOND_LOCAL = entry("near-too", "a");
  private static final BackendEntry REMOTE = entry("far", "b");

  /** In time within 200 ms; a response from another zone loses a fifth of its value. */
  private static final LatencyAwareBalancer.RequestConstraints CONSTRAINTS =
      new LatencyAwareBalancer.RequestConstraints(ROUTE, 200, 0.2);

  private final LatencyAwareBalancer balancer = new LatencyAwareBalancer("a", () -> 0);

  private static BackendEntry entry(String id, String zone) {
    return new BackendEntry(
        id, "service", new PeerAddress("10.0.0.1", 1), zone, 6, BackendEntry.State.READY, 0);
  }

  private Optional<String> pick(List<BackendEntry> candidates, Set<String> silent) {
    return balancer
        .pick(NOW, candidates, CONSTRAINTS, Set.of(), silent)
        .map(choice -> choice.backend().id());
  }

  private void reportLoad(BackendEntry backend, int running, int queued, int serviceMillis) {
    balancer.updateLoad(
        NOW, backend.id(), new BackendLoad(running, queued, 6, serviceMillis * 1_000L, 100, 0));
    balancer.updateRouteTime(NOW, backend.id(), ROUTE, serviceMillis * 1_000L);
  }

  private static BackendEntry localStartedAt(long startTimeMillis) {
    return new BackendEntry(
        "near", "service", LOCAL.address(), "a", 6, BackendEntry.State.READY, 0, startTimeMillis);
  }

  @Test
  void statsOfAnEarlierStartWithTheSameIdAreDiscarded() {
    pick(List.of(localStartedAt(1_000), REMOTE), Set.of());
    reportLoad(LOCAL, 6, 20, 400);
    balancer.finished(NOW, "near", new Verdict.NotRun(Verdict.Reason.DRAINING));
    reportLoad(REMOTE, 0, 0, 60);
    assertThat(pick(List.of(localStartedAt(1_000), REMOTE), Set.of())).contains("far");

    assertThat(pick(List.of(localStartedAt(2_000), REMOTE), Set.of())).contains("near");
    assertThat(pick(List.of(localStartedAt(500), REMOTE), Set.of())).contains("near");
  }

  @Test
  void aLoadReportOfAnotherStartIsIgnored() {
    pick(List.of(localStartedAt(2_000), REMOTE), Set.of());
    BackendLoad full = new BackendLoad(6, 60, 6, 400_000, 100, 0, 1_000);
    balancer.updateLoad(NOW, "near", full);
    reportLoad(REMOTE, 0, 0, 60);
    assertThat(pick(List.of(localStartedAt(2_000), REMOTE), Set.of())).contains("near");

    balancer.updateLoad(NOW, "near", new BackendLoad(6, 60, 6, 400_000, 100, 0, 2_000));

    assertThat(pick(List.of(localStartedAt(2_000), REMOTE), Set.of())).contains("far");
  }

  /** Some backends do not report a start time; these are identified by their ids alone. */
  @Test
  void anUnknownStartTimeMatchesAnyStart() {
    pick(List.of(localStartedAt(0), REMOTE), Set.of());
    balancer.updateLoad(NOW, "near", new BackendLoad(6, 60, 6, 400_000, 100, 0, 1_000));
    reportLoad(REMOTE, 0, 0, 60);

    assertThat(pick(List.of(localStartedAt(0), REMOTE), Set.of())).contains("far");
  }

  @Test
  void anOldSlowdownReportDecays() {
    reportLoad(LOCAL, 0, 0, 100);
    reportLoad(REMOTE, 0, 0, 100);
    balancer.updateLoad(NOW, "near", new BackendLoad(0, 0, 6, 100_000, 400, 0));
    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("far");

    assertThat(balancer.pick(NOW + 1_500, List.of(LOCAL, REMOTE), CONSTRAINTS, Set.of(), Set.of()))
        .hasValueSatisfying(choice -> assertThat(choice.backend().id()).isEqualTo("near"));
  }

  /** The limit is lifted by a response, which needs a request. */
  @Test
  void backendWithTheLeastRateIsUsedAgainOnceItAllowsAStart() {
    reportLoad(LOCAL, 0, 0, 60);
    reportLoad(REMOTE, 0, 0, 60);
    balancer.updateRateLimit(NOW, "near", 5_000, 5_000);

    assertThat(pickAt(NOW + 4_500)).isEqualTo("far");
    assertThat(pickAt(NOW + 5_000)).isEqualTo("near");
    balancer.started(NOW + 5_000, "near");
    assertThat(pickAt(NOW + 5_000)).isEqualTo("far");
    balancer.finished(NOW + 5_500, "near", new Verdict.NotRun(Verdict.Reason.OVERLOADED));
    assertThat(pickAt(NOW + 10_000)).isEqualTo("near");
  }

  @Test
  void backendThatRefusedAsNotReadyIsUsedAgainAfterASecond() {
    reportLoad(LOCAL, 0, 0, 60);
    reportLoad(REMOTE, 0, 0, 60);
    balancer.finished(NOW, "near", new Verdict.NotRun(Verdict.Reason.NOT_READY));

    assertThat(pickAt(NOW + 500)).isEqualTo("far");
    assertThat(pickAt(NOW + 1_000)).isEqualTo("near");
  }

  /** All are avoided alike, so that the best of them is still used. */
  @Test
  void allBackendsAvoidedAtOnceAreStillUsed() {
    for (BackendEntry backend : List.of(LOCAL, REMOTE)) {
      balancer.finished(NOW, backend.id(), new Verdict.NotRun(Verdict.Reason.UNREACHABLE));
      balancer.updateLoad(
          NOW, backend.id(), new BackendLoad(0, 0, 6, 60_000, 2_000, 0).withFailures(100));
      balancer.updateRateLimit(NOW, backend.id(), 5_000, 5_000);
    }

    assertThat(pickAt(NOW)).isEqualTo("near");
  }

  private String pickAt(long nowMillis) {
    return balancer
        .pick(nowMillis, List.of(LOCAL, REMOTE), CONSTRAINTS, Set.of(), Set.of())
        .orElseThrow()
        .backend()
        .id();
  }

  private Optional<String> pickForUpload(long nowMillis) {
    LatencyAwareBalancer.RequestConstraints upload =
        new LatencyAwareBalancer.RequestConstraints(ROUTE, 200, 0.2, true);
    return balancer
        .pick(nowMillis, List.of(LOCAL, REMOTE), upload, Set.of(), Set.of())
        .map(choice -> choice.backend().id());
  }

  private void reportUploads(BackendEntry backend, int outstanding) {
    reportUploads(backend, outstanding, 50);
  }

  private void reportUploads(BackendEntry backend, int outstanding, int bodyMillis) {
    BackendLoad idle = new BackendLoad(0, 0, 6, 60_000, 100, 0);
    UploadLoad uploads = new UploadLoad(outstanding, bodyMillis * 1_000L);
    balancer.updateLoad(NOW, backend.id(), idle.withUploads(uploads));
    balancer.updateRouteTime(NOW, backend.id(), ROUTE, 60_000);
  }

  @Test
  void uploadsAvoidAFullLinkAlthoughTheSlotsAreFree() {
    reportUploads(LOCAL, 4);
    reportUploads(REMOTE, 0);

    assertThat(pickForUpload(NOW)).contains("far");
    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).as("short request").contains("near");
    assertThat(pickForUpload(NOW + 200)).as("after the link has had the time").contains("near");
  }

  /** Without bodies its node would not measure the link again. */
  @Test
  void idleLinkThatWasSlowIsUsedAgain() {
    reportUploads(LOCAL, 0, 400);
    reportUploads(REMOTE, 0, 10);

    assertThat(pickForUpload(NOW)).contains("near");
    balancer.startedUpload(NOW, "near");
    assertThat(pickForUpload(NOW)).contains("far");
  }

  @Test
  void uploadsOfThisNodeCountBeforeTheNextReport() {
    reportUploads(LOCAL, 0);
    reportUploads(REMOTE, 0);
    assertThat(pickForUpload(NOW)).contains("near");

    for (int sent = 0; sent < 4; sent++) {
      balancer.startedUpload(NOW, "near");
    }

    assertThat(pickForUpload(NOW)).contains("far");
  }

  @Test
  void staysInTheZoneWhileTheWaitIsShort() {
    reportLoad(LOCAL, 6, 3, 60);
    reportLoad(REMOTE, 0, 0, 60);

    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("near");
  }

  @Test
  void leavesTheZoneWhenTheWaitIsLong() {
    reportLoad(LOCAL, 6, 20, 60);
    reportLoad(REMOTE, 0, 0, 60);

    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("far");
  }

  @Test
  void staysInTheZoneWithASlowerBackendThatIsStillInTime() {
    reportLoad(LOCAL, 2, 0, 110);
    reportLoad(REMOTE, 0, 0, 30);

    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("near");
  }

  @Test
  void leavesTheZoneEarlyWhenCrossZoneTrafficIsCheap() {
    reportLoad(LOCAL, 6, 3, 60);
    reportLoad(REMOTE, 0, 0, 60);

    LatencyAwareBalancer.RequestConstraints cheap =
        new LatencyAwareBalancer.RequestConstraints(ROUTE, 200, 0.01);

    assertThat(balancer.pick(NOW, List.of(LOCAL, REMOTE), cheap, Set.of(), Set.of()))
        .hasValueSatisfying(choice -> assertThat(choice.backend().id()).isEqualTo("far"));
  }

  @Test
  void staysInTheZoneWhenCrossZoneTrafficCostsMoreThanLateness() {
    reportLoad(LOCAL, 6, 12, 60);
    reportLoad(REMOTE, 0, 0, 60);

    LatencyAwareBalancer.RequestConstraints expensive =
        new LatencyAwareBalancer.RequestConstraints(ROUTE, 200, 0.8);

    assertThat(balancer.pick(NOW, List.of(LOCAL, REMOTE), expensive, Set.of(), Set.of()))
        .hasValueSatisfying(choice -> assertThat(choice.backend().id()).isEqualTo("near"));
  }

  @Test
  void prefersTheFasterOfTwoIdleBackends() {
    reportLoad(LOCAL, 0, 0, 120);
    reportLoad(SECOND_LOCAL, 0, 0, 40);

    assertThat(pick(List.of(LOCAL, SECOND_LOCAL), Set.of())).contains("near-too");
  }

  /** A backend that happens to serve long requests is not slow for short ones, and vice versa. */
  @Test
  void comparesTheTimeOfTheRouteNotTheMeanOverAllRoutes() {
    balancer.updateLoad(NOW, "near", new BackendLoad(1, 0, 6, 800_000, 100, 0));
    balancer.updateLoad(NOW, "far", new BackendLoad(1, 0, 6, 40_000, 100, 0));
    balancer.updateRouteTime(NOW, "near", ROUTE, 60_000);
    balancer.updateRouteTime(NOW, "far", ROUTE, 40_000);

    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("near");
  }

  /**
   * Otherwise each node of a fleet would send all its requests to a backend that has just come
   * back.
   */
  @Test
  void aReturningBackendIsAssumedToHaveMeanLoadUntilItReports() {
    reportLoad(LOCAL, 3, 0, 60);
    reportLoad(SECOND_LOCAL, 1, 0, 60);
    balancer.started(NOW, "near-too");
    balancer.finished(NOW, "near-too", new Verdict.NotRun(Verdict.Reason.UNREACHABLE));
    long later = NOW + 1_000;
    balancer.started(later, "near-too");

    assertThat(balancer.pick(later, List.of(LOCAL, SECOND_LOCAL), CONSTRAINTS, Set.of(), Set.of()))
        .hasValueSatisfying(choice -> assertThat(choice.backend().id()).isEqualTo("near"));

    reportLoad(SECOND_LOCAL, 1, 0, 60);
    assertThat(balancer.pick(later, List.of(LOCAL, SECOND_LOCAL), CONSTRAINTS, Set.of(), Set.of()))
        .hasValueSatisfying(choice -> assertThat(choice.backend().id()).isEqualTo("near-too"));
  }

  @Test
  void avoidsABackendThatSlowsDown() {
    reportLoad(LOCAL, 3, 0, 60);
    reportLoad(REMOTE, 3, 0, 60);
    balancer.updateLoad(NOW, "near", new BackendLoad(3, 0, 6, 60_000, 600, 0));

    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("far");
  }

  @Test
  void estimatesAnUnknownRouteFromTheSpeedOnOtherRoutes() {
    reportLoad(LOCAL, 0, 0, 30);
    reportLoad(SECOND_LOCAL, 0, 0, 90);
    for (int response = 0; response < 20; response++) {
      balancer.updateRouteTime(NOW, "near", ROUTE, 30_000);
      balancer.updateRouteTime(NOW, "near-too", ROUTE, 90_000);
    }

    LatencyAwareBalancer.RequestConstraints other =
        new LatencyAwareBalancer.RequestConstraints("other", 200, 0.2);

    assertThat(balancer.pick(NOW, List.of(SECOND_LOCAL, LOCAL), other, Set.of(), Set.of()))
        .hasValueSatisfying(choice -> assertThat(choice.backend().id()).isEqualTo("near"));
  }

  @Test
  void countsOwnRequestsBeforeTheNextLoadReport() {
    reportLoad(LOCAL, 0, 0, 60);
    reportLoad(SECOND_LOCAL, 1, 0, 60);
    balancer.started(NOW, "near");
    balancer.started(NOW, "near");

    assertThat(pick(List.of(LOCAL, SECOND_LOCAL), Set.of())).contains("near-too");
  }

  @Test
  void avoidsAnUnreachableBackendTemporarily() {
    balancer.started(NOW, "near");
    balancer.finished(NOW, "near", new Verdict.NotRun(Verdict.Reason.UNREACHABLE));

    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("far");
    assertThat(balancer.pick(NOW + 1_000, List.of(LOCAL, REMOTE), CONSTRAINTS, Set.of(), Set.of()))
        .hasValueSatisfying(choice -> assertThat(choice.backend().id()).isEqualTo("near"));
  }

  /**
   * Guards against treating shedding as "avoid for a second" only: when all backends shed, the
   * choice was random.
   */
  @Test
  void avoidsABackendThatShedsMoreThanOthersThatAreInTime() {
    reportLoad(LOCAL, 0, 0, 60);
    reportLoad(REMOTE, 0, 0, 60);
    BackendLoad free = new BackendLoad(0, 0, 6, 60_000, 100, 0);
    balancer.updateLoad(NOW, "near", free.withFailures(100));
    balancer.finished(NOW, "near", new Verdict.NotRun(Verdict.Reason.REJECTED));
    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("far");

    balancer.updateLoad(NOW, "far", new BackendLoad(6, 60, 6, 60_000, 100, 0));
    balancer.updateLoad(NOW, "near", free.withFailures(60));
    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("near");
  }

  @Test
  void equalSheddingDoesNotChangeTheChoice() {
    reportLoad(LOCAL, 0, 0, 60);
    reportLoad(REMOTE, 0, 0, 60);
    BackendLoad shedding = new BackendLoad(0, 0, 6, 60_000, 100, 0).withFailures(55);
    balancer.updateLoad(NOW, "near", shedding);
    balancer.updateLoad(NOW, "far", shedding);
    balancer.finished(NOW, "near", new Verdict.NotRun(Verdict.Reason.REJECTED));

    assertThat(pick(List.of(LOCAL, REMOTE), Set.of())).contains("near");
  }

  @Test
  void silentBackendsAreNotPicked() {
    assertThat(pick(List.of(LOCAL, REMOTE), Set.of("near"))).contains("far");
    assertThat(pick(List.of(LOCAL, REMOTE), Set.of("near", "far"))).isEmpty();
  }

  @Test
  void toleratesAWaitUpToWhereTheNextBestBackendIsBetter() {
    reportLoad(LOCAL, 0, 0, 60);
    reportLoad(REMOTE, 0, 0, 60);

    LatencyAwareBalancer.Choice choice =
        balancer.pick(NOW, List.of(LOCAL, REMOTE), CONSTRAINTS, Set.of(), Set.of()).orElseThrow();

    assertThat(choice.toleratedWaitMillis()).isEqualTo(83);
  }

  @Test
  void toleratesAnyWaitForTheOnlyBackend() {
    LatencyAwareBalancer.Choice choice =
        balancer.pick(NOW, List.of(LOCAL), CONSTRAINTS, Set.of(), Set.of()).orElseThrow();

    assertThat(choice.toleratedWaitMillis()).isEqualTo(LatencyAwareBalancer.ANY_WAIT_MILLIS);
  }

  /**
   * Guards against leaving the zone while a local backend is idle: a sample taken as a window over
   * the list of a large service held only a few backends of the local zone.
   */
  @Test
  void staysInTheZoneOfALargeServiceWhileOneLocalBackendIsIdle() {
    Random random = new Random(3);
    LatencyAwareBalancer large = new LatencyAwareBalancer("zone-0", random::nextDouble);
    List<BackendEntry> candidates = new ArrayList<>();
    for (int index = 0; index < 55; index++) {
      BackendEntry backend = entry("i-" + index, "zone-" + index % 7);
      candidates.add(backend);
      boolean free = index % 7 != 0 || index == 28;
      large.updateLoad(NOW, backend.id(), new BackendLoad(free ? 0 : 30, 0, 6, 60_000, 100, 0));
      large.updateRouteTime(NOW, backend.id(), ROUTE, 60_000);
    }

    for (int request = 0; request < 200; request++) {
      assertThat(large.pick(NOW, candidates, CONSTRAINTS, Set.of(), Set.of()))
          .hasValueSatisfying(choice -> assertThat(choice.backend().id()).isEqualTo("i-28"));
    }
  }

  /** All backends of other zones get their share, even if the local zone has many. */
  @Test
  void requestsThatLeaveTheZoneAreSpreadOverAllOtherBackends() {
    Random random = new Random(3);
    LatencyAwareBalancer large = new LatencyAwareBalancer("elsewhere", random::nextDouble);
    List<BackendEntry> candidates = new ArrayList<>();
    Map<String, Integer> picked = new HashMap<>();
    for (int index = 0; index < 100; index++) {
      BackendEntry backend = entry("i-" + index, "zone-" + index % 7);
      candidates.add(backend);
      large.updateLoad(NOW, backend.id(), new BackendLoad(0, 0, 6, 60_000, 100, 0));
    }

    for (int request = 0; request < 10_000; request++) {
      large
          .pick(NOW, candidates, CONSTRAINTS, Set.of(), Set.of())
          .ifPresent(choice -> picked.merge(choice.backend().id(), 1, Integer::sum));
    }

    assertThat(picked).hasSize(100);
    assertThat(picked.values()).allSatisfy(count -> assertThat(count).isLessThan(200));
  }
}
