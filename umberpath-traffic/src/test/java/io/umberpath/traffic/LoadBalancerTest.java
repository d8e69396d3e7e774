package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ObservedBackend.Phase;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.Pool;
import io.umberpath.model.ProxySnapshot.BackendView;
import io.umberpath.model.ProxySnapshot.PoolView;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.umberpath.model.Verdict.Reason;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadBalancerTest {
  private static final int PICKS = 400;
  private static final long LATENCY = 5_000;

  private final LoadBalancer balancer = LoadBalancers.create(BalancerSettings.of("edge", "a"));
  private long counter;

  /**
   * Backends b0, b1 ... in the zones given by one letter each; an upper-case letter marks a drained
   * one.
   */
  private static PoolView pool(String zones) {
    List<BackendView> views = new ArrayList<>();
    for (int i = 0; i < zones.length(); i++) {
      String zone = zones.substring(i, i + 1);
      views.add(
          new BackendView(
              new BackendAddress("b" + i, "::1", 1, zone.toLowerCase(), "::1", 1),
              Character.isUpperCase(zone.charAt(0))));
    }
    return new PoolView(new Pool("p", "t", Tier.STANDARD, "s", 6, 130), views);
  }

  private void report(long now, String id, Phase phase, int load) {
    balancer.updateReports(now, List.of(new ObservedBackend(id, 1, ++counter, phase, load)));
  }

  /** Counts picks per backend; each request ends before the next. */
  private Map<String, Integer> countPicks(long now, PoolView pool) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < PICKS; i++) {
      String id = balancer.pick(now, pool, i, Set.of()).get().address().id();
      balancer.started(now, id);
      balancer.finished(now, id, new Verdict.Completed(), LATENCY);
      counts.merge(id, 1, Integer::sum);
    }
    return counts;
  }

  @ParameterizedTest
  @CsvSource({"DRAINING", "DOWN"})
  void aDrainingOrDownBackendGetsNoNewRequests(Phase phase) {
    countPicks(0, pool("aa"));
    report(1, "b0", phase, 0);
    assertThat(countPicks(1, pool("aa"))).containsOnlyKeys("b1");
    report(2, "b0", Phase.READY, 0);
    assertThat(countPicks(20_000, pool("aa"))).containsOnlyKeys("b0", "b1");
  }

  @Test
  void anOlderReportIsIgnored() {
    balancer.updateReports(0, List.of(new ObservedBackend("b0", 7, 2, Phase.DRAINING, 0)));
    balancer.updateReports(0, List.of(new ObservedBackend("b0", 7, 1, Phase.READY, 0)));
    balancer.updateReports(0, List.of(new ObservedBackend("b0", 6, 9, Phase.READY, 0)));
    assertThat(countPicks(1, pool("aa"))).containsOnlyKeys("b1");
  }

  @Test
  void backendsDrainedByAnOperatorOrARefusalAreSkipped() {
    assertThat(countPicks(0, pool("Aa"))).containsOnlyKeys("b1");
    balancer.started(0, "b1");
    balancer.finished(0, "b1", new Verdict.NotRun(Reason.DRAINING), 100);
    assertThat(balancer.pick(1, pool("Aa"), 1, Set.of())).isEqualTo(Either.left(Reason.NO_BACKEND));
  }

  @Test
  void noCandidateIsReportedAsNoBackend() {
    assertThat(balancer.pick(0, pool(""), 1, Set.of())).isEqualTo(Either.left(Reason.NO_BACKEND));
    assertThat(balancer.pick(0, pool("aa"), 1, Set.of("b0", "b1")))
        .isEqualTo(Either.left(Reason.NO_BACKEND));
  }

  @Test
  void sheddingAppliesToTheTierAndLowerTiers() {
    PoolView one = pool("a");
    balancer.backOff(0, "b0", Tier.STANDARD, 100);
    assertThat(balancer.pick(99, one, Tier.BASIC, 1, Set.of()))
        .isEqualTo(Either.left(Reason.OVERLOADED));
    assertThat(balancer.retryAfterMillis(40, one, Tier.STANDARD)).isEqualTo(60);
    assertThat(balancer.pick(99, one, Tier.PREMIUM, 1, Set.of()).isRight()).isTrue();
    assertThat(balancer.pick(100, one, Tier.BASIC, 1, Set.of()).isRight()).isTrue();
  }

  @Test
  void prefersTheLocalZoneAndSpillsOverWhenItIsFull() {
    assertThat(countPicks(0, pool("aabb"))).containsOnlyKeys("b0", "b1");
    for (int i = 0; i < 6; i++) {
      balancer.started(0, "b0");
      balancer.started(0, "b1");
    }
    assertThat(countPicks(0, pool("aabb"))).containsOnlyKeys("b2", "b3");
  }

  @ParameterizedTest
  @CsvSource({"3, false", "4, true", "5, true"})
  void outliersAreEjectedButNeverMoreThanHalf(int failing, boolean allUsed) {
    PoolView six = pool("aaaaaa");
    for (int backend = 0; backend < failing; backend++) {
      for (int i = 0; i < 3; i++) {
        balancer.started(0, "b" + backend);
        balancer.finished(0, "b" + backend, new Verdict.MayHaveRun(Reason.CONNECTION_LOST), 10);
      }
    }
    Map<String, Integer> used = countPicks(1, six);
    assertThat(used.size()).isGreaterThanOrEqualTo(3);
    if (!allUsed) {
      assertThat(used).doesNotContainKeys("b0", "b1", "b2");
    }
    assertThat(countPicks(30_000, six)).hasSize(6);
  }

  @Test
  void aNewOrWarmingBackendStartsSlowly() {
    countPicks(0, pool("aaaa"));
    PoolView grown = pool("aaaaa");
    assertThat(countPicks(20_000, grown).getOrDefault("b4", 0)).isLessThan(PICKS / 20);
    assertThat(countPicks(30_001, grown).get("b4")).isBetween(PICKS / 8, PICKS / 3);
    report(40_000, "b0", Phase.WARMING, 0);
    assertThat(countPicks(40_000, grown).getOrDefault("b0", 0)).isLessThan(PICKS / 20);
  }

  @Test
  void aLowReportedLoadContradictedByRefusalsIsNotTrusted() {
    PoolView pool = pool("aaa");
    for (int i = 0; i < 20; i++) {
      report(i, "b0", Phase.READY, 0);
      report(i, "b1", Phase.READY, 80);
      report(i, "b2", Phase.READY, 80);
      balancer.started(i, "b0");
      balancer.finished(i, "b0", new Verdict.NotRun(Reason.OVERLOADED), 500);
    }
    assertThat(countPicks(20, pool).getOrDefault("b0", 0)).isLessThan(PICKS / 20);
  }

  @ParameterizedTest
  @CsvSource({
    // edges, backends, connections an edge, limit, size
    "20, 7, 4, 130, 7",
    "32, 7, 4, 130, 7",
    "60, 12, 4, 130, 3",
    "60, 48, 4, 130, 13",
    "600, 400, 2, 130, 26",
    "5900, 7, 1, 130, 2"
  })
  void subsetsKeepConnectionsUnderTheLimit(
      int edges, int backends, int perEdge, int limit, int size) {
    assertThat(Subsetting.size(edges, backends, perEdge, limit)).isEqualTo(size);
    boolean reachable = size > Subsetting.MINIMUM;
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < backends; i++) {
      ids.add("10.0.0." + i + ":9000");
    }
    Map<String, Integer> connections = new HashMap<>();
    for (int edge = 0; edge < edges; edge++) {
      List<String> order = Subsetting.order("10.1.0." + edge, ids, id -> id);
      order.subList(0, size).forEach(id -> connections.merge(id, perEdge, Integer::sum));
    }
    double bound = Subsetting.expectedMaximum(edges, backends, size) * perEdge;
    assertThat(connections.values())
        .allMatch(used -> used <= bound)
        .allMatch(used -> !reachable || used <= limit);
  }

  @Test
  void aRemovedBackendChangesOnlyTheSubsetsThatContainedIt() {
    List<String> ids = List.of("a", "b", "c", "d", "e", "f");
    for (int edge = 0; edge < 200; edge++) {
      List<String> before = Subsetting.order("edge-" + edge, ids, id -> id);
      List<String> after = Subsetting.order("edge-" + edge, ids.subList(1, 6), id -> id);
      List<String> expected = new ArrayList<>(before);
      expected.remove("a");
      assertThat(after).isEqualTo(expected);
    }
  }
}
