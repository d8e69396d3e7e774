package io.umberpath.lab.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.lab.simulate.SimulationSettings.Subject;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class FaultCaseTest {
  private static final List<String> PAIRS =
      List.of(
          "kill-40-percent+leader-paused",
          "kill-75-percent+platform-down",
          "half-cut-off+kill-all-relays",
          "leader-cut-off+messages-late",
          "messages-duplicated+restarts-in-an-election",
          "zone-lost+clocks-jump",
          "machines-replaced+leader-cannot-hear",
          "many-paused+kill-40-percent",
          "everyone-reconnects+kill-all-relays",
          "kill-all+platform-back");

  /** Pairs that once broke an invariant with the seed below. */
  private static final List<String> FOUND =
      List.of(
          "rolling-restart+kill-all-but-one",
          "rolling-restart+zone-cut-off",
          "rolling-restart+half-cut-off",
          "rolling-restart+minority-cut-off",
          "rolling-restart+leader-cut-off",
          "rolling-restart+leader-cannot-send",
          "rolling-restart+leader-cannot-hear",
          "kill-40-percent+zone-lost-for-good",
          "majority-lost-then-reform+machines-replaced",
          "kill-all-but-one+leader-killed-at-step-5",
          "leader-killed-at-step-5+kill-all-but-one",
          "restarts-in-an-election+kill-75-percent",
          "restarts-in-an-election+kill-all-but-one");

  private static final long FOUND_SEED = 11;

  static Stream<Arguments> singly() {
    return FaultTable.names().stream()
        .flatMap(name -> Stream.of(1L, 2L).map(seed -> Arguments.of(name, seed)));
  }

  static Stream<Arguments> inPairs() {
    return PAIRS.stream().map(name -> Arguments.of(name, 3L));
  }

  static Stream<Arguments> found() {
    return FOUND.stream().map(name -> Arguments.of(name, FOUND_SEED));
  }

  @ParameterizedTest
  @MethodSource({"singly", "inPairs", "found"})
  void keepsEveryInvariant(String fault, long seed) {
    SimulationSettings settings =
        TestSettings.small(Subject.PRODUCT, FaultTable.named(fault), seed);

    assertThat(new Simulation(settings).run().violations()).isEmpty();
  }
}
