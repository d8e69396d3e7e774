package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.routing.RequestKind;
import io.umberpath.model.routing.RequestLimits;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.model.routing.WeightedService;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RoutingTableTest {
  private static final RoutingTable TABLE =
      RoutingTable.of(
          new RoutingConfiguration(
              7,
              new RequestLimits(1, 1, 1, 1),
              List.of(
                  rule("root", "shop.example", "/"),
                  rule("orders", "shop.example", "/orders/"),
                  rule("old-orders", "shop.example", "/orders/old/"),
                  rule("other", "other.example", "/orders/")),
              Map.of()));

  private static RoutingRule rule(String name, String host, String prefix) {
    return new RoutingRule(
        name,
        host,
        prefix,
        RequestKind.SAFE,
        List.of(new WeightedService("service", 1)),
        1_000,
        2,
        200,
        1);
  }

  @ParameterizedTest
  @CsvSource({
    "shop.example, /orders/1, orders",
    "SHOP.example:8080, /orders/1, orders",
    "shop.example, /orders/old/1, old-orders",
    "shop.example, /orders/old, orders",
    "shop.example, /orders, root",
    "shop.example, /ordersx/, root",
    "other.example, /orders/, other",
    "other.example, /else/, ''",
    "unknown.example, /orders/, ''"
  })
  void theLongestMatchingPrefixWins(String host, String path, String expected) {
    assertThat(TABLE.match(host, path).map(RoutingRule::name).orElse("")).isEqualTo(expected);
  }

  @Test
  void exposesTheVersionOfTheConfiguration() {
    assertThat(TABLE.version()).isEqualTo(7);
  }
}
