package io.umberpath.node.proxy.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.origin.OriginConnection;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.junit.jupiter.api.Test;

final class ConnectionPoolTest {
  private static final int MAX_CONNECTIONS = 4;
  private static final long CONNECT_TIMEOUT_MILLIS = 300;

  private final List<Verdict.Reason> failures = new ArrayList<>();
  private long nowMillis = 1_000;
  private int connectAttempts;
  private final ConnectionPool pool =
      new ConnectionPool(
          new PeerAddress("10.0.0.1", 1),
          this::hang,
          MAX_CONNECTIONS,
          () -> nowMillis,
          CONNECT_TIMEOUT_MILLIS);

  @SuppressWarnings("rawtypes") // Grizzly's own signature
  private void hang(PeerAddress address, CompletionHandler<Connection> handler) {
    connectAttempts++;
  }

  private void acquire() {
    pool.acquire(
        new ConnectionWaiter() {
          @Override
          public void onConnected(OriginConnection connection) {
            throw new AssertionError("connected");
          }

          @Override
          public void onUnavailable(Verdict.Reason reason) {
            failures.add(reason);
          }
        });
  }

  /** Connection attempts that hang count towards the maximum. */
  @Test
  void poolWhoseConnectionAttemptsAllHangConnectsAgainAfterTheTimeout() {
    for (int index = 0; index < MAX_CONNECTIONS; index++) {
      acquire();
    }
    acquire();
    assertThat(failures).containsExactly(Verdict.Reason.OVERLOADED);

    nowMillis += CONNECT_TIMEOUT_MILLIS;
    pool.failOverdueConnects();
    assertThat(failures.subList(1, failures.size()))
        .hasSize(MAX_CONNECTIONS)
        .containsOnly(Verdict.Reason.UNREACHABLE);

    acquire();
    assertThat(connectAttempts).isEqualTo(MAX_CONNECTIONS + 1);
  }
}
