package io.umberpath.model;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.TreeMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class CompositionTest {
  private static final Pool POOL = new Pool("p1", "t1", Tier.BASIC, "booking", 6, 130);
  private static final PlatformDocument DOCUMENT =
      new PlatformDocument(
          4,
          new java.util.TreeMap<>(
              java.util.Map.of(
                  "booking",
                  List.of(
                      new PlatformDocument.BackendAddress(
                          "b1", "127.0.0.1", 1, "z1", "127.0.0.1", 2)))),
          List.of());

  private static Route route(String pool, Optional<String> secret) {
    return new Route("r1", "t1", Tier.BASIC, "*", "/", pool, secret, Set.of("GET"), 1_000);
  }

  private static FleetState state(Resource... resources) {
    TreeMap<ResourceKey, Resource> map = TreeMap.empty();
    for (Resource resource : resources) {
      map = map.put(resource.key(), resource);
    }
    FleetState empty = FleetState.EMPTY;
    return new FleetState(
        new Version(1, 1),
        map,
        empty.drained().add("b1"),
        empty.roster(),
        empty.previousRoster(),
        0,
        empty.answered(),
        0);
  }

  static Stream<Arguments> danglingReferences() {
    Pool unknownService = new Pool("p1", "t1", Tier.BASIC, "gone", 6, 130);
    return Stream.of(
        Arguments.of(state(route("p2", Optional.empty()), POOL), "routes[r1].pool"),
        Arguments.of(state(route("p1", Optional.of("s9")), POOL), "routes[r1].secret"),
        Arguments.of(state(route("p1", Optional.empty()), unknownService), "pools[p1].service"));
  }

  @ParameterizedTest
  @MethodSource("danglingReferences")
  void rejectsADanglingReference(FleetState state, String field) {
    var result = ProxySnapshot.compose(state, DOCUMENT);
    assertThat(result.getLeft().stream().map(Violation::field).collect(Collectors.toList()))
        .containsExactly(field);
  }

  @Test
  void composesTheStateWithTheBackendsOfThePlatform() {
    FleetState state = state(route("p1", Optional.empty()), POOL);
    ProxySnapshot snapshot = ProxySnapshot.compose(state, DOCUMENT).get();
    assertThat(snapshot.revision()).isEqualTo(4);
    assertThat(snapshot.pools().get("p1").backends())
        .singleElement()
        .matches(ProxySnapshot.BackendView::drained);
  }

  @Test
  void documentsAreEqualWhateverTheOrderOfTheirContent() {
    var first = new PlatformDocument.BackendAddress("b1", "127.0.0.1", 1, "z1", "127.0.0.1", 2);
    var second = new PlatformDocument.BackendAddress("b2", "127.0.0.1", 3, "z1", "127.0.0.1", 4);
    assertThat(document(first, second)).isEqualTo(document(second, first));
  }

  private static PlatformDocument document(PlatformDocument.BackendAddress... backends) {
    return new PlatformDocument(
        1, new java.util.TreeMap<>(java.util.Map.of("booking", List.of(backends))), List.of());
  }
}
