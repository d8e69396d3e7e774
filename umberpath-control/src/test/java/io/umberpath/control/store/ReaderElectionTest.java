package io.umberpath.control.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a zone that has no reader for as long as its nodes rely on one that does not read.
 * Whatever the reason for relying on an inactive node, another one takes over within a bounded
 * time.
 */
final class ReaderElectionTest {
  private static final long TAKEOVER_STEP_MILLIS = 250;
  private static final long DETECTION_MILLIS = 1_150;
  private static final int ZONES = 4;
  private static final List<String> RANKED =
      StoreReaders.rankedBefore("", List.of("10.0.0.3", "10.0.0.4", "10.0.0.5"), Set.of(""));

  private final Set<String> calling = new HashSet<>();

  private boolean reads(ReaderElection election, String self, long now) {
    return reads(election, self, now, Set.of());
  }

  private boolean reads(ReaderElection election, String self, long now, Set<String> refused) {
    List<String> others = new ArrayList<>(RANKED);
    others.remove(self);
    return election.decide(now, others, calling, refused, ZONES, DETECTION_MILLIS).isReader();
  }

  private static ReaderElection electionOf(int rank) {
    return new ReaderElection(RANKED.get(rank), TAKEOVER_STEP_MILLIS);
  }

  @Test
  void firstRankedNodeReadsImmediatelyAndOthersYieldToIt() {
    calling.add(RANKED.get(0));

    assertThat(reads(electionOf(0), RANKED.get(0), 0)).isTrue();
    assertThat(reads(electionOf(1), RANKED.get(1), 0)).isFalse();
    assertThat(reads(electionOf(2), RANKED.get(2), 0)).isFalse();
  }

  @Test
  void nodesTakeOverInRankOrderFromAnInactiveReader() {
    ReaderElection second = electionOf(1);
    ReaderElection third = electionOf(2);

    for (long now = 0; now < DETECTION_MILLIS; now += TAKEOVER_STEP_MILLIS) {
      assertThat(reads(second, RANKED.get(1), now)).as("at %d ms", now).isFalse();
      assertThat(reads(third, RANKED.get(2), now)).as("at %d ms", now).isFalse();
    }
    assertThat(reads(second, RANKED.get(1), DETECTION_MILLIS)).isTrue();
    assertThat(reads(third, RANKED.get(2), DETECTION_MILLIS)).isFalse();
    assertThat(reads(third, RANKED.get(2), DETECTION_MILLIS + TAKEOVER_STEP_MILLIS)).isTrue();
  }

  @Test
  void readerStopsOnlyWhenAHigherRankedNodeReportsCalls() {
    ReaderElection second = electionOf(1);
    reads(second, RANKED.get(1), 0);
    assertThat(reads(second, RANKED.get(1), DETECTION_MILLIS)).isTrue();
    assertThat(reads(second, RANKED.get(1), 60_000)).isTrue();

    calling.add(RANKED.get(0));

    assertThat(reads(second, RANKED.get(1), 60_250)).isFalse();
  }

  @Test
  void rejectedReaderContinuesUntilAnotherNodeCalls() {
    ReaderElection first = electionOf(0);
    assertThat(reads(first, RANKED.get(0), 0)).isTrue();

    Set<String> refused = Set.of(RANKED.get(0));
    assertThat(reads(first, RANKED.get(0), 250, refused)).isTrue();
    calling.add(RANKED.get(1));

    assertThat(reads(first, RANKED.get(0), 500, refused)).isFalse();
  }
}
