package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class LeftOutBackendsTest {
  private static final List<BackendEntry> READY =
      List.of(entry("i-1"), entry("i-2"), entry("i-3"), entry("i-4"));

  private long nowMillis = 100_000;
  private final LatencyAwareBalancer balancer = new LatencyAwareBalancer("a", () -> 0);
  private final LeftOutBackends leftOut =
      new LeftOutBackends(balancer, new MeshEvents(() -> nowMillis), () -> nowMillis);

  private static BackendEntry entry(String id) {
    return new BackendEntry(
        id, "booking", new PeerAddress("10.0.0.1", 1), "a", 6, BackendEntry.State.READY, 0);
  }

  private void report(String id, int slownessPercent, int failurePercent) {
    BackendLoad load =
        new BackendLoad(0, 0, 6, 60_000, slownessPercent, 0).withFailures(failurePercent);
    balancer.updateLoad(nowMillis, id, load);
  }

  private void update(Set<String> unavailable) {
    leftOut.update(READY, unavailable);
  }

  @Test
  void nothingIsListedWhileAllBackendsAreAlike() {
    READY.forEach(each -> report(each.id(), 120, 50));
    update(Set.of());

    assertThat(leftOut.count()).isZero();
    assertThat(leftOut.statusPage()).isEmpty();
  }

  @Test
  void causeAndDurationAreListed() {
    report("i-1", 600, 0);
    report("i-2", 100, 90);
    report("i-3", 100, 0);
    report("i-4", 100, 0);
    balancer.updateRateLimit(nowMillis, "i-3", 5_000, 5_000);
    update(Set.of("i-4"));
    nowMillis += 2_000;
    report("i-1", 600, 0);
    update(Set.of("i-4"));

    assertThat(leftOut.count()).isEqualTo(4);
    assertThat(leftOut.statusPage().lines())
        .containsExactly(
            "i-1 of booking left out for 2 s: slow",
            "i-2 of booking left out for 2 s: failing",
            "i-3 of booking left out for 2 s: rate-limited",
            "i-4 of booking left out for 2 s: unavailable");
  }

  @Test
  void backendThatRefusedIsListedForASecond() {
    balancer.finished(nowMillis, "i-1", new Verdict.NotRun(Verdict.Reason.NOT_READY));
    update(Set.of());
    assertThat(leftOut.statusPage()).startsWith("i-1 of booking left out for 0 s: refusing");

    nowMillis += 1_000;
    update(Set.of());
    assertThat(leftOut.count()).isZero();
  }
}
