package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeResult.RefusalCode;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.FleetState;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Pool;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import io.umberpath.model.Route;
import io.umberpath.model.Secret;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ChangeRaceTest {
  private static final ResourceKey P1 = new ResourceKey(ResourceKind.POOL, "p1");

  private static final PlatformDocument DOCUMENT =
      new PlatformDocument(1, new TreeMap<>(Map.of("booking", List.of())), List.of());

  private static ChangeSet change(
      String id, String tenant, Optional<Version> expected, List<Resource> upserts) {
    return new ChangeSet(id, tenant, Tier.BASIC, expected, upserts, List.of(), List.of());
  }

  private static Pool pool(String name, String tenant) {
    return new Pool(name, tenant, Tier.BASIC, "booking", 1, 1);
  }

  private static Route route(String pool, Optional<String> secret, String tenant) {
    return new Route("r", tenant, Tier.BASIC, "*", "/", pool, secret, Set.of(), 100);
  }

  static Stream<Arguments> refused() {
    return Stream.of(
        Arguments.of(
            "dangling pool",
            change("c", "t1", Optional.empty(), List.of(route("nope", Optional.empty(), "t1"))),
            RefusalCode.INVALID,
            "routes[r].pool"),
        Arguments.of(
            "pool of a service unknown to the platform",
            change(
                "c",
                "t2",
                Optional.empty(),
                List.of(new Pool("p2", "t2", Tier.BASIC, "nope", 1, 1))),
            RefusalCode.INVALID,
            "upserts[0].service"),
        Arguments.of(
            "pool still in use",
            new ChangeSet(
                "c", "t1", Tier.BASIC, Optional.empty(), List.of(), List.of(P1), List.of()),
            RefusalCode.INVALID,
            "routes[r1].pool"),
        Arguments.of(
            "another tenant's pool",
            change("c", "t2", Optional.empty(), List.of(pool("p1", "t2"))),
            RefusalCode.CONFLICT,
            "upserts[0].name"),
        Arguments.of(
            "another tenant's secret",
            change(
                "c",
                "t2",
                Optional.empty(),
                List.of(pool("p2", "t2"), route("p2", Optional.of("s1"), "t2"))),
            RefusalCode.CONFLICT,
            "upserts[1].secret"),
        Arguments.of(
            "stale expected version",
            change("c", "t1", Optional.of(new Version(0, 7)), List.of(pool("p3", "t1"))),
            RefusalCode.CONFLICT,
            "expected_version"),
        Arguments.of(
            "request id of another change in the batch",
            change("first", "t1", Optional.empty(), List.of(pool("other", "t1"))),
            RefusalCode.REQUEST_ID_REUSED,
            "request_id"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("refused")
  void onlyTheInvalidChangeOfABatchIsRefused(
      String name, ChangeSet invalid, RefusalCode code, String field) {
    ChangeBatch batch = new ChangeBatch(FleetState.EMPTY, new Version(1, 1), DOCUMENT);
    List<Resource> resources =
        List.of(
            pool("p1", "t1"),
            new Secret("s1", "t1", Tier.BASIC, new byte[] {65}),
            new Route("r1", "t1", Tier.BASIC, "*", "/", "p1", Optional.of("s1"), Set.of(), 9));
    assertThat(batch.add(change("first", "t1", Optional.empty(), resources))).isEmpty();
    ChangeResult result = batch.add(invalid).orElseThrow();
    assertThat(result).isInstanceOf(ChangeResult.Refused.class);
    ChangeResult.Refused refused = (ChangeResult.Refused) result;
    assertThat(refused.code()).isEqualTo(code);
    assertThat(refused.violations()).anyMatch(violation -> violation.field().equals(field));
    ChangeSet last = change("last", "t1", Optional.empty(), List.of(pool("p9", "t1")));
    assertThat(batch.add(last)).isEmpty();
    assertThat(batch.upserts()).hasSize(4);
    assertThat(batch.answers()).hasSize(2);
  }

  @Test
  void retryThroughAnotherNodeGetsTheOriginalResult() {
    TestFleet fleet = new TestFleet(21, 6, 2);
    fleet.startAll();
    assertThat(fleet.runUntil(20_000, fleet::hasConverged)).isNotNegative();
    long first = fleet.submit(fleet.process(4), TestFleet.poolChange("same", "p1"));
    fleet.run(2_000);
    long retry = fleet.submit(fleet.process(5), TestFleet.poolChange("same", "p1"));
    long reuse = fleet.submit(fleet.process(3), TestFleet.poolChange("same", "p2"));
    fleet.run(2_000);
    assertThat(fleet.changeResults.get(first)).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(fleet.changeResults.get(retry)).isEqualTo(fleet.changeResults.get(first));
    assertThat(((ChangeResult.Refused) fleet.changeResults.get(reuse)).code())
        .isEqualTo(RefusalCode.REQUEST_ID_REUSED);
  }

  @Test
  void oneOfTwoChangesWithTheSameExpectedVersionIsAccepted() {
    TestFleet fleet = new TestFleet(22, 6, 2);
    fleet.batchWindowMillis = 50;
    fleet.startAll();
    assertThat(fleet.runUntil(20_000, fleet::hasConverged)).isNotNegative();
    Optional<Version> expected =
        Optional.of(fleet.leader().orElseThrow().status().committed().version());
    List<Long> tickets = new ArrayList<>();
    for (int index = 1; index <= 2; index++) {
      ChangeSet racing = change("race" + index, "t1", expected, List.of(pool("p" + index, "t1")));
      tickets.add(fleet.submit(fleet.process(index), racing));
    }
    fleet.run(3_000);
    assertThat(tickets.stream().map(fleet.changeResults::get))
        .hasAtLeastOneElementOfType(ChangeResult.Accepted.class)
        .hasAtLeastOneElementOfType(ChangeResult.Refused.class);
  }

  @Test
  void fullQueueRefusesAndLowestTierIsNotStarved() {
    ChangeQueue queue = new ChangeQueue(200);
    for (int index = 0; index < 200; index++) {
      assertThat(queue.offer(entry(Tier.PREMIUM), 0)).isTrue();
      assertThat(queue.offer(entry(Tier.BASIC), 0)).isTrue();
    }
    assertThat(queue.offer(entry(Tier.PREMIUM), 0)).isFalse();
    assertThat(queue.offer(entry(Tier.STANDARD), 0)).isTrue();
    List<ChangeQueue.Entry> batch = queue.takeBatch(0);
    assertThat(batch).hasSize(ChangeQueue.MAX_BATCH);
    assertThat(batch.get(0).change().tier()).isEqualTo(Tier.PREMIUM);
    assertThat(batch.stream().filter(each -> each.change().tier() == Tier.BASIC))
        .hasSize(ChangeQueue.RESERVED_FOR_BASIC);
    assertThat(batch.stream().filter(each -> each.change().tier() == Tier.STANDARD)).hasSize(1);
  }

  private static ChangeQueue.Entry entry(Tier tier) {
    ChangeSet change =
        new ChangeSet("id", "t1", tier, Optional.empty(), List.of(), List.of(), List.of());
    return new ChangeQueue.Entry(change, () -> {}, result -> {});
  }

  @Test
  void lateForwardOfARefusedChangeDoesNotRun() {
    ForwardedChanges forwardedChanges = new ForwardedChanges();
    io.umberpath.model.Member origin =
        new io.umberpath.model.Member(
            3, new io.umberpath.model.PeerAddress("10.0.0.3", 1), 9, "z", "r");
    ChangeSet change = TestFleet.poolChange("r1", "p1");
    ControlMessage.ForwardChange first = new ControlMessage.ForwardChange(5, origin, 1, 1, change);
    ControlMessage.ForwardChange second = new ControlMessage.ForwardChange(5, origin, 2, 2, change);
    assertThat(forwardedChanges.onArrival(first)).isEqualTo(ForwardedChanges.Arrival.NEW);
    forwardedChanges.markQueued(first);
    assertThat(forwardedChanges.onArrival(first)).isEqualTo(ForwardedChanges.Arrival.DUPLICATE);
    forwardedChanges.markDecided(first, ChangeDecider.overloadRefusal());
    assertThat(forwardedChanges.onArrival(first)).isEqualTo(ForwardedChanges.Arrival.DECIDED);
    assertThat(forwardedChanges.onArrival(second)).isEqualTo(ForwardedChanges.Arrival.NEW);
    assertThat(forwardedChanges.onArrival(first)).isEqualTo(ForwardedChanges.Arrival.DUPLICATE);
  }
}
