package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against timings that add up to more than the bound. A pause of 600 ms after changes and a
 * watch that hung for 1,320 ms once left 80 ms of the two seconds for the store's response, two
 * reports and two transfers.
 */
final class ChangeBudgetTest {
  /** Time within which a configuration is in force and a draining backend gets no requests. */
  private static final long BOUND_MILLIS = 2_000;

  private static final Path DESIGN_NOTE =
      Path.of("..", "docs", "design", "0018-order-and-bounds.md");

  static List<ChangeBudget.Path> paths() {
    return ChangeBudget.paths();
  }

  @ParameterizedTest
  @MethodSource("paths")
  void eachPathLeavesAQuarterOfTheBound(ChangeBudget.Path path) {
    assertThat(path.millis()).as(path.name()).isLessThan(BOUND_MILLIS * 3 / 4);
    assertThat(ChangeBudget.isWithin(path, BOUND_MILLIS)).isTrue();
  }

  @Test
  void longestPathIsTheWatchThatHearsNothing() {
    assertThat(ChangeBudget.longest().name()).isEqualTo("a watch hears nothing");
  }

  @ParameterizedTest
  @MethodSource("paths")
  void designNoteListsTheSteps(ChangeBudget.Path path) throws IOException {
    StringBuilder steps = new StringBuilder();
    path.steps()
        .forEach(step -> steps.append(steps.length() == 0 ? "" : " + ").append(step.millis()));

    assertThat(Files.readString(DESIGN_NOTE))
        .contains("| %s | %s | %d |".formatted(path.name(), steps, path.millis()));
  }
}
