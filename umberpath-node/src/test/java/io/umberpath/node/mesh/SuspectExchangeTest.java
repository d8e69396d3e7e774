package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates, in virtual time, nodes that exchange suspect reports over a network with datagram
 * loss.
 */
final class SuspectExchangeTest {
  private static final RequestFingerprint POISON_REQUEST = new RequestFingerprint(1, 1);
  private static final long TICK_MILLIS = 50;

  /** Interval at which each node reports its digest to two other nodes. */
  private static final long ROUND_MILLIS = 250;

  private final List<Node> nodes = new ArrayList<>();
  private Random random = new Random(1);
  private double loss;
  private long now = 10_000;
  private int datagrams;

  private final class Node {
    private final RequestQuarantine quarantine =
        new RequestQuarantine(
            new SuspectRegistry(3),
            (request, count) -> false,
            new MeshEvents(() -> now),
            () -> now);
    private final SuspectExchange exchange;

    Node(int index) {
      this.exchange = new SuspectExchange(quarantine, () -> peersOf(index), this::send, () -> now);
    }

    private void send(List<byte[]> sent, Collection<String> hosts) {
      for (String host : hosts) {
        sent.forEach(bytes -> deliver(bytes, nodes.get(Integer.parseInt(host))));
      }
    }
  }

  private Collection<String> peersOf(int index) {
    return IntStream.range(0, nodes.size())
        .filter(each -> each != index)
        .mapToObj(Integer::toString)
        .toList();
  }

  private void deliver(byte[] bytes, Node to) {
    datagrams++;
    if (random.nextDouble() < loss) {
      return;
    }
    try {
      to.quarantine.merge((SuspectMessage) PeerDatagram.decode(bytes, bytes.length));
    } catch (IOException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }

  private void growTo(int count) {
    IntStream.range(nodes.size(), count).forEach(index -> nodes.add(new Node(index)));
  }

  private void runFor(long millis) {
    for (long end = now + millis; now < end; now += TICK_MILLIS) {
      nodes.forEach(node -> node.exchange.sendUnsent());
      if (now % ROUND_MILLIS == 0) {
        IntStream.range(0, nodes.size()).forEach(this::report);
      }
    }
  }

  private void report(int index) {
    for (int contact = 0; contact < 2; contact++) {
      Node to = nodes.get(random.nextInt(nodes.size()));
      if (random.nextDouble() >= loss) {
        to.exchange.digestReceived(Integer.toString(index), nodes.get(index).quarantine.digest());
      }
    }
  }

  private boolean isHeldEverywhere() {
    return nodes.stream().allMatch(node -> node.quarantine.blocksOutbound(POISON_REQUEST));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void allNodesHoldTheRequestWithinTwoSecondsAtThirtyPercentDatagramLoss(long seed) {
    random = new Random(seed);
    loss = 0.3;
    growTo(95);
    for (int backend = 0; backend < 3; backend++) {
      nodes
          .get(backend)
          .quarantine
          .recordBackendCrash(new BackendStart("b-" + backend, 0), List.of(POISON_REQUEST));
    }
    runFor(2_000);

    assertThat(isHeldEverywhere()).isTrue();
  }

  @Test
  void withoutLossEachNodeReceivesEachCrashOnce() {
    growTo(12);
    for (int backend = 0; backend < 3; backend++) {
      nodes
          .get(backend)
          .quarantine
          .recordBackendCrash(new BackendStart("b-" + backend, 0), List.of(POISON_REQUEST));
      runFor(500);
    }

    assertThat(isHeldEverywhere()).isTrue();
    assertThat(datagrams).isEqualTo(3 * 11);
  }

  @Test
  void aNodeThatStartsLaterReceivesAllSuspectReports() {
    growTo(12);
    for (int backend = 0; backend < 3; backend++) {
      nodes
          .get(0)
          .quarantine
          .recordBackendCrash(new BackendStart("b-" + backend, 0), List.of(POISON_REQUEST));
    }
    runFor(1_000);
    growTo(13);
    runFor(1_500);

    assertThat(isHeldEverywhere()).isTrue();
  }

  @Test
  void nothingIsSentIfNoBackendHasCrashed() {
    growTo(12);
    nodes.forEach(node -> node.quarantine.recordSuccess(POISON_REQUEST));
    runFor(5_000);

    assertThat(datagrams).isZero();
  }

  @Test
  void aSuccessOnAnyNodeReleasesTheRequestOnAllNodes() {
    growTo(12);
    for (int backend = 0; backend < 3; backend++) {
      nodes
          .get(backend)
          .quarantine
          .recordBackendCrash(new BackendStart("b-" + backend, 0), List.of(POISON_REQUEST));
    }
    runFor(500);
    nodes.get(7).quarantine.recordSuccess(POISON_REQUEST);
    runFor(500);

    assertThat(nodes).noneMatch(node -> node.quarantine.blocksOutbound(POISON_REQUEST));
    assertThat(nodes).noneMatch(node -> node.quarantine.mayBeQuarantined(POISON_REQUEST.target()));
  }
}
