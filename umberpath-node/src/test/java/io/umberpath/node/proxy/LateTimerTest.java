package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A timer must not apply timeouts while the selector thread has unread input. */
@Timeout(60)
class LateTimerTest extends InboundFixtureTest {
  private static final long DEADLINE_MILLIS = 600_000;

  /** The response arrived before the deadline but is still unread. */
  @Test
  void responseUnreadAtItsDeadlineIsDelivered() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      client.send(InboundFixture.get("/answered", DEADLINE_MILLIS));
      assertThat(origin.readHead()).startsWith("GET /answered ");
      fixture.blockSelector();
      origin.send("HTTP/1.1 204 No Content\r\n\r\n");
      fixture.awaitLateness();
      fixture.advance(DEADLINE_MILLIS);
      fixture.expireRequests();
      fixture.unblockSelector();

      assertThat(client.read().status()).isEqualTo(204);
    }
  }

  /** The check is submitted by another thread while the selector thread is busy for long. */
  @Test
  void deferredTimeoutCheckRunsWithoutFurtherInput() throws Exception {
    fixture.blockSelector();
    fixture.awaitLateness();
    CountDownLatch checked = new CountDownLatch(1);
    fixture.checkTimeouts(checked::countDown);
    fixture.unblockSelector();

    assertThat(checked.await(20, TimeUnit.SECONDS)).isTrue();
  }

  /** The connection has opened, but the selector thread that handles the event is blocked. */
  @Test
  void openedConnectionIsKeptThoughItsEventIsUnread() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.blockSelectorBehind(client, InboundFixture.get("/connecting", DEADLINE_MILLIS));
      fixture.awaitLateness();
      fixture.advance(DEADLINE_MILLIS / 2);
      fixture.expireConnectionAttempts();
      fixture.unblockSelector();

      try (RawConnection origin = fixture.acceptOrigin()) {
        assertThat(origin.readHead()).startsWith("GET /connecting ");
      }
    }
  }
}
