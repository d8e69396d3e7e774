package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.routing.RequestKind;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.model.routing.WeightedService;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class WeightedRoundRobinTest {
  private static RoutingRule rule(WeightedService... targets) {
    return new RoutingRule(
        "route", "host", "/", RequestKind.SAFE, List.of(targets), 1_000, 2, 200, 1);
  }

  private static Map<String, Integer> distribute(
      WeightedRoundRobin roundRobin, RoutingRule rule, int requests) {
    Map<String, Integer> counts = new HashMap<>();
    for (int index = 0; index < requests; index++) {
      counts.merge(roundRobin.next(rule), 1, Integer::sum);
    }
    return counts;
  }

  @Test
  void distributesByWeight() {
    RoutingRule rule = rule(new WeightedService("a", 90), new WeightedService("b", 10));

    assertThat(distribute(new WeightedRoundRobin(), rule, 300))
        .containsEntry("a", 270)
        .containsEntry("b", 30);
  }

  @ParameterizedTest
  @CsvSource({"0.9, 0.1", "1.35e308, 1.5e307", "9e-300, 1e-300"})
  void distributesByWeightsOfAnyScale(double first, double second) {
    RoutingRule rule = rule(new WeightedService("a", first), new WeightedService("b", second));

    Map<String, Integer> counts = distribute(new WeightedRoundRobin(), rule, 300);

    assertThat(counts.get("a")).isBetween(269, 271);
    assertThat(counts.get("b")).isEqualTo(300 - counts.get("a"));
  }

  @Test
  void aTargetWithZeroWeightGetsNoRequests() {
    RoutingRule rule = rule(new WeightedService("a", 1), new WeightedService("b", 0));

    assertThat(distribute(new WeightedRoundRobin(), rule, 50)).containsOnlyKeys("a");
  }

  @Test
  void changedWeightsApplyFromTheNextRequest() {
    WeightedRoundRobin roundRobin = new WeightedRoundRobin();
    distribute(roundRobin, rule(new WeightedService("a", 90), new WeightedService("b", 10)), 55);

    RoutingRule changed = rule(new WeightedService("a", 10), new WeightedService("b", 90));

    assertThat(distribute(roundRobin, changed, 100)).containsEntry("a", 10).containsEntry("b", 90);
  }
}
