package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import io.umberpath.model.routing.RequestKind;
import io.umberpath.model.routing.RequestLimits;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.model.routing.ServiceDefinition;
import io.umberpath.model.routing.WeightedService;
import io.umberpath.traffic.routing.RoutingTable;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class ConfigurationWarmUpTest {
  private final AtomicInteger parsedRules = new AtomicInteger();

  private final StoreItemParser documents =
      new FakeStoreItemParser() {
        @Override
        public RoutingConfiguration parseExample(int rules) {
          parsedRules.addAndGet(rules);
          return largeConfiguration(rules);
        }
      };

  private static RoutingConfiguration largeConfiguration(int rules) {
    ServiceDefinition service = new ServiceDefinition("booking", "/healthz", 130, 0, 0);
    List<RoutingRule> all =
        IntStream.range(0, rules)
            .mapToObj(
                number ->
                    new RoutingRule(
                        "rule-" + number,
                        "example",
                        "/" + number + "/",
                        RequestKind.SAFE,
                        List.of(new WeightedService("booking", 1)),
                        5_000,
                        2,
                        250,
                        1))
            .toList();
    return new RoutingConfiguration(
        1, new RequestLimits(1, 1, 1, 1), all, Map.of(service.name(), service));
  }

  private void warmUpWith(MeshView view) {
    new ConfigurationWarmUp(documents, () -> view, null).parseExample();
  }

  private static MeshView viewWith(int rules) {
    RoutingConfiguration configuration = largeConfiguration(rules);
    StorePosition at = new StorePosition(1, 1);
    BackendDirectory backends = new BackendDirectory(List.of(), Set.of());
    return new MeshView(configuration, RoutingTable.of(configuration), backends, at, at);
  }

  @Test
  void parsesTheExampleUnlessALargeConfigurationIsHeld() {
    warmUpWith(MeshView.EMPTY);
    assertThat(parsedRules).hasValue(ConfigurationWarmUp.EXAMPLE_RULES);
    warmUpWith(viewWith(3));
    assertThat(parsedRules).hasValue(2 * ConfigurationWarmUp.EXAMPLE_RULES);
  }

  @Test
  void skipsTheExampleIfALargeConfigurationIsHeld() {
    warmUpWith(viewWith(ConfigurationWarmUp.EXAMPLE_RULES));
    assertThat(parsedRules).hasValue(0);
  }
}
