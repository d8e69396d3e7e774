package io.umberpath.control.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class StoreReadersTest {
  private static final int ZONES = 3;

  private static List<String> nodes(int count) {
    return IntStream.range(0, count).mapToObj(index -> "10.0.0." + index).toList();
  }

  private static Set<String> readers(List<String> nodes, Set<String> refused) {
    Set<String> readers = new TreeSet<>();
    for (String node : nodes) {
      Set<String> others = new HashSet<>(nodes);
      others.remove(node);
      if (reads(node, others, refused)) {
        readers.add(node);
      }
    }
    return readers;
  }

  private static boolean reads(String self, Set<String> others, Set<String> refused) {
    return new ReaderElection(self, 0).decide(0, others, others, refused, ZONES, 0).isReader();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 14, 143, 1_000})
  void zoneOfAnySizeHasTwoReaders(int count) {
    assertThat(readers(nodes(count), Set.of())).hasSize(Math.min(count, 2));
  }

  @ParameterizedTest
  @CsvSource({"1, 4", "2, 2", "3, 2", "4, 1", "7, 1"})
  void atLeastFourReadersInTotalAndOnePerZone(int zones, int readers) {
    assertThat(StoreReaders.readersPerZone(zones)).isEqualTo(readers);
  }

  @Test
  void rejectedReadersAreReplaced() {
    List<String> nodes = nodes(14);
    Set<String> refused = readers(nodes, Set.of());

    assertThat(readers(nodes, refused)).hasSize(2).doesNotContainAnyElementsOf(refused);
  }

  @Test
  void twoReadersRemainWhenTheStoreRejectsAll() {
    List<String> nodes = nodes(14);

    assertThat(readers(nodes, new HashSet<>(nodes))).hasSize(2);
  }

  @Test
  void unreachableReadersAreReplaced() {
    List<String> nodes = nodes(14);
    Set<String> readers = readers(nodes, Set.of());
    List<String> left = nodes.stream().filter(node -> !readers.contains(node)).toList();

    assertThat(readers(left, Set.of())).hasSize(2);
  }
}
