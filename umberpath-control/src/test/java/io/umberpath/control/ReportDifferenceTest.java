package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.ControlMessage.ReportGroup;
import io.umberpath.model.Version;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ReportDifferenceTest {
  private static ReportGroup group(long sequence, int... slots) {
    Version version = new Version(1, sequence);
    return new ReportGroup(version, version, 7, SlotSet.of(slots));
  }

  static Stream<Arguments> reports() {
    List<ReportGroup> settled = List.of(group(1, 3, 5, 8));
    return Stream.of(
        Arguments.of("unchanged", settled, settled, true),
        Arguments.of("all newer", settled, List.of(group(2, 3, 5, 8)), true),
        Arguments.of("one lags", settled, List.of(group(1, 5), group(2, 3, 8)), true),
        Arguments.of(
            "lagging member caught up", List.of(group(1, 5), group(2, 3, 8)), settled, true),
        Arguments.of("one more", settled, List.of(group(1, 3, 5, 8, 9)), false),
        Arguments.of("one more, lagging", settled, List.of(group(1, 9), group(2, 3, 5, 8)), true),
        Arguments.of("one less", settled, List.of(group(1, 3, 5)), false),
        Arguments.of("first", List.of(), settled, false),
        Arguments.of("no members left", settled, List.of(), false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("reports")
  void completionRestoresTheOriginalGroups(
      String name, List<ReportGroup> former, List<ReportGroup> groups, boolean omitsSlots) {
    List<ReportGroup> sent = ReportDifference.between(former, groups);
    assertThat(!sent.equals(groups)).as(name).isEqualTo(omitsSlots);
    assertThat(ReportDifference.complete(Optional.of(former), sent)).contains(groups);
    assertThat(ReportDifference.complete(Optional.empty(), sent).isEmpty()).isEqualTo(omitsSlots);
  }

  @Test
  void sizeDoesNotDependOnTheNumberOfMembers() {
    int[] scattered = IntStream.range(0, 700).map(index -> index * 8).toArray();
    List<ReportGroup> sent =
        ReportDifference.between(List.of(group(1, scattered)), List.of(group(2, scattered)));
    assertThat(sent.get(0).slots()).isEqualTo(SlotSet.EMPTY);
  }
}
