package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.membership.RendezvousHash;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which of twelve nodes retry a quarantined request, and when. */
final class QuarantineTrialTest {
  private static final int NODES = 12;
  private static final int THRESHOLD = 3;
  private static final long SECOND_MILLIS = 1_000;
  private static final long TRIAL_DELAY_MILLIS = 60_000;
  private static final RequestFingerprint REQUEST = new RequestFingerprint(7, 8);

  private record Trial(int node, long afterMillis) {}

  private final List<String> hosts =
      IntStream.range(0, NODES).mapToObj(index -> "10.0.0." + index).toList();
  private final List<RequestQuarantine> nodes = hosts.stream().map(this::quarantineOf).toList();
  private long nowMillis = 1_000_000;

  private RequestQuarantine quarantineOf(String host) {
    return new RequestQuarantine(
        new SuspectRegistry(THRESHOLD),
        (request, round) -> ranking(request).get((int) (round % NODES)).equals(host),
        new MeshEvents(() -> nowMillis),
        () -> nowMillis);
  }

  private List<String> ranking(RequestFingerprint request) {
    return RendezvousHash.select(NODES, hosts, request.text());
  }

  private int firstElected() {
    return hosts.indexOf(ranking(REQUEST).get(0));
  }

  private static void quarantine(List<RequestQuarantine> nodes) {
    for (int crash = 0; crash < THRESHOLD; crash++) {
      BackendStart backend = new BackendStart("i-" + crash, 0);
      nodes.forEach(node -> node.recordBackendCrash(backend, List.of(REQUEST)));
    }
  }

  /** Quarantines the request, which then arrives each second at some of the nodes. */
  private List<Trial> trialsWithin(long millis, IntPredicate arrivesAt) {
    quarantine(nodes);
    List<Trial> trials = new ArrayList<>();
    for (long after = 0; after < millis; after += SECOND_MILLIS) {
      for (int index = 0; index < NODES; index++) {
        if (arrivesAt.test(index) && !nodes.get(index).blocksOutbound(REQUEST)) {
          trials.add(new Trial(index, after));
        }
      }
      nowMillis += SECOND_MILLIS;
    }
    return trials;
  }

  /** A call between services arrives only at the nodes beside the callers. */
  @Test
  void requestThatNeverArrivesAtTheElectedNodeIsTriedByAnother() {
    int elected = firstElected();

    List<Trial> trials = trialsWithin(TRIAL_DELAY_MILLIS + 41_000, index -> index != elected);

    assertThat(trials).isNotEmpty();
    assertThat(trials.get(0).afterMillis()).isGreaterThanOrEqualTo(TRIAL_DELAY_MILLIS + 10_000);
  }

  @Test
  void requestThatArrivesAtAllNodesIsTriedByOne() {
    List<Trial> trials = trialsWithin(TRIAL_DELAY_MILLIS + 9_000, index -> true);

    assertThat(trials).containsExactly(new Trial(firstElected(), TRIAL_DELAY_MILLIS));
  }

  /** Until the crash of a trial is told, each node that may try sends the request to a backend. */
  @Test
  void requestThatReturnsLateAtAllNodesIsTriedByOne() {
    for (long overdue = 0; overdue < 3 * TRIAL_DELAY_MILLIS; overdue += SECOND_MILLIS) {
      List<RequestQuarantine> unaware = hosts.stream().map(this::quarantineOf).toList();
      quarantine(unaware);
      nowMillis += TRIAL_DELAY_MILLIS + overdue;

      assertThat(unaware.stream().filter(node -> !node.blocksOutbound(REQUEST)))
          .as("%d ms after the trial was due", overdue)
          .hasSize(1);
    }
  }
}
