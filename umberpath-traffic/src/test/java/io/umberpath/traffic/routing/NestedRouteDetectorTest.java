package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class NestedRouteDetectorTest {
  private final NestedRouteDetector detector = new NestedRouteDetector();

  private void recordRequests(String route, int count, String... services) {
    for (int index = 0; index < count; index++) {
      detector.recordRequest(route, services[index % services.length]);
    }
  }

  @Test
  void aRouteWithASingleOriginServiceIsNested() {
    recordRequests("order", 60, "catalogue", "orders", "media");
    recordRequests("stock", 60, "catalogue");

    assertThat(detector.isNested("stock")).isTrue();
    assertThat(detector.isNested("order")).isFalse();
    assertThat(detector.isNested("unknown")).isFalse();
  }

  @Test
  void tooFewRequestsAreInconclusive() {
    recordRequests("order", 60, "catalogue", "orders");
    recordRequests("stock", 23, "catalogue");

    assertThat(detector.isNested("stock")).isFalse();
  }

  @Test
  void aStrayRequestIsTolerated() {
    recordRequests("order", 60, "catalogue", "orders");
    recordRequests("stock", 100, "catalogue");
    recordRequests("stock", 1, "orders");

    assertThat(detector.isNested("stock")).isTrue();
  }

  @Test
  void noRouteIsNestedWhenAllRequestsHaveOneOrigin() {
    recordRequests("order", 200, "catalogue");
    recordRequests("stock", 200, "catalogue");

    assertThat(detector.isNested("stock")).isFalse();
  }

  @Test
  void aRouteThatOtherOriginsStartToUseIsNoLongerNested() {
    recordRequests("order", 600, "catalogue", "orders");
    recordRequests("stock", 600, "catalogue");
    recordRequests("stock", 40, "catalogue", "orders");

    assertThat(detector.isNested("stock")).isFalse();
  }
}
