package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that have waited in the accept queue while the node could not read. */
@Timeout(60)
class AcceptQueueTest {
  private static final int CONNECTIONS = 64;
  private static final int MAX_ITERATIONS = 8;

  /**
   * If only one connection were accepted per event loop iteration, each connection and its request
   * would wait for another iteration.
   */
  @Test
  void requestsOfQueuedConnectionsAreReadWithinFewIterations() throws Exception {
    List<RawConnection> clients = new ArrayList<>();
    try (InboundFixture fixture = new InboundFixture()) {
      fixture.blockSelector();
      for (int index = 0; index < CONNECTIONS; index++) {
        RawConnection client = fixture.connect();
        clients.add(client);
        client.send(InboundFixture.REFUSED);
      }
      fixture.unblockSelectorLate();
      for (RawConnection client : clients) {
        assertThat(client.read().status()).isEqualTo(404);
      }

      assertThat(fixture.iterations()).isLessThanOrEqualTo(MAX_ITERATIONS);
    } finally {
      closeAll(clients);
    }
  }

  private static void closeAll(List<RawConnection> clients) throws IOException {
    for (RawConnection client : clients) {
      client.close();
    }
  }
}
