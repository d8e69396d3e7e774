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

  /** Each connection waited for a turn of the selector of its own, and its request as long. */
  @Test
  void requestsOfWaitingConnectionsAreReadWithinFewIterations() throws Exception {
    List<RawConnection> callers = new ArrayList<>();
    try (InboundFixture fixture = new InboundFixture()) {
      fixture.blockReading();
      for (int index = 0; index < CONNECTIONS; index++) {
        RawConnection caller = fixture.connect();
        callers.add(caller);
        caller.send(InboundFixture.REFUSED);
      }
      fixture.readOnLate();
      for (RawConnection caller : callers) {
        assertThat(caller.read().status()).isEqualTo(404);
      }

      assertThat(fixture.iterations()).isLessThanOrEqualTo(MAX_ITERATIONS);
    } finally {
      closeAll(callers);
    }
  }

  private static void closeAll(List<RawConnection> callers) throws IOException {
    for (RawConnection caller : callers) {
      caller.close();
    }
  }
}
