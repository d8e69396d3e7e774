package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.junit.jupiter.api.Test;

final class BackendCrashDetectorTest {
  private static final RequestFingerprint ONE = new RequestFingerprint(1, 1);
  private static final RequestFingerprint OTHER = new RequestFingerprint(2, 2);

  /** Failure callbacks of the connection attempts, in order. */
  private final List<Consumer<Throwable>> connectAttempts = new ArrayList<>();

  private long now = 5_000;
  private boolean earlierRequestStillRuns;
  private final ConnectionPool pool =
      new ConnectionPool(new PeerAddress("127.0.0.1", 1), this::open, 4, () -> now);
  private final BackendCrashDetector detector = new BackendCrashDetector(pool, () -> now);

  @SuppressWarnings("rawtypes") // Grizzly's own signature
  private void open(PeerAddress address, CompletionHandler<Connection> handler) {
    connectAttempts.add(handler::failed);
  }

  private List<BackendCrashDetector.Crash> tickAfter(long millis) {
    now += millis;
    return detector.pollCrash((backend, atMillis) -> earlierRequestStillRuns).stream().toList();
  }

  private void refuse(int attempt) {
    connectAttempts.get(attempt).accept(new ConnectException("refused"));
  }

  @Test
  void requestsLostTogetherAreReportedAsOneCrashOfAnUnreachableBackend() {
    detector.connectionLost("i-1", ONE);
    refuse(0);
    detector.connectionLost("i-1", OTHER);

    assertThat(tickAfter(0)).isEmpty();
    assertThat(tickAfter(40))
        .singleElement()
        .satisfies(crash -> assertThat(crash.backend()).isEqualTo("i-1"))
        .satisfies(crash -> assertThat(crash.requests()).containsExactlyInAnyOrder(ONE, OTHER));
    assertThat(connectAttempts).hasSize(1);
    assertThat(tickAfter(1_000)).isEmpty();
  }

  @Test
  void reportsNoCrashBeforeTheProbeConnectionFails() {
    detector.connectionLost("i-1", ONE);

    assertThat(tickAfter(100)).isEmpty();
    refuse(0);
    assertThat(tickAfter(0)).hasSize(1);
  }

  @Test
  void anEarlierRequestThatStillRunsRulesOutACrash() {
    earlierRequestStillRuns = true;
    detector.connectionLost("i-1", ONE);
    refuse(0);

    assertThat(tickAfter(100)).isEmpty();
    earlierRequestStillRuns = false;
    assertThat(tickAfter(100)).isEmpty();
  }

  @Test
  void aLossOnTheNextStartReplacesTheSuspectedCrashOfTheEarlierOne() {
    detector.connectionLost("i-1", ONE);
    detector.connectionLost("i-2", OTHER);
    refuse(0);

    assertThat(tickAfter(100)).isEmpty();
    refuse(1);
    assertThat(tickAfter(100))
        .singleElement()
        .satisfies(crash -> assertThat(crash.requests()).containsExactly(OTHER));
  }

  /** A response may be read after the loss of a connection although it was received before it. */
  @Test
  void onlyAResponseToALaterRequestProvesTheBackendAlive() {
    detector.connectionLost("i-1", ONE);
    detector.responseReceived("i-1", now);
    refuse(0);
    assertThat(tickAfter(100)).hasSize(1);

    detector.connectionLost("i-1", ONE);
    detector.responseReceived("i-1", now + 1);
    refuse(1);
    assertThat(tickAfter(100)).isEmpty();
  }
}
