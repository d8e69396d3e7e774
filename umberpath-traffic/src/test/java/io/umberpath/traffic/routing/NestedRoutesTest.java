package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class NestedRoutesTest {
  private final NestedRoutes routes = new NestedRoutes();

  private void arrive(String route, int count, String... services) {
    for (int index = 0; index < count; index++) {
      routes.arrived(route, services[index % services.length]);
    }
  }

  @Test
  void aRouteThatBeginsBesideOneServiceIsNested() {
    arrive("order", 60, "catalogue", "orders", "media");
    arrive("stock", 60, "catalogue");

    assertThat(routes.isNested("stock")).isTrue();
    assertThat(routes.isNested("order")).isFalse();
    assertThat(routes.isNested("unknown")).isFalse();
  }

  @Test
  void aFewRequestsSayNothing() {
    arrive("order", 60, "catalogue", "orders");
    arrive("stock", 23, "catalogue");

    assertThat(routes.isNested("stock")).isFalse();
  }

  @Test
  void aStrayRequestChangesNothing() {
    arrive("order", 60, "catalogue", "orders");
    arrive("stock", 100, "catalogue");
    arrive("stock", 1, "orders");

    assertThat(routes.isNested("stock")).isTrue();
  }

  @Test
  void whereAllBeginsBesideOneServiceNothingIsNested() {
    arrive("order", 200, "catalogue");
    arrive("stock", 200, "catalogue");

    assertThat(routes.isNested("stock")).isFalse();
  }

  @Test
  void aRouteThatCallersBeginToUseIsNoLongerNested() {
    arrive("order", 600, "catalogue", "orders");
    arrive("stock", 600, "catalogue");
    arrive("stock", 40, "catalogue", "orders");

    assertThat(routes.isNested("stock")).isFalse();
  }
}
