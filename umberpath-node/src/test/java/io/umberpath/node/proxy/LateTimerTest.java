package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A timer does not check time-outs by what a selector thread has not read yet. */
@Timeout(60)
class LateTimerTest extends InboundFixtureTest {
  private static final long DEADLINE_MILLIS = 600_000;

  /** The answer has arrived before the deadline and lies unread behind it. */
  @Test
  void anAnswerThatLiesUnreadAtItsDeadlineIsDelivered() throws Exception {
    try (RawConnection origin = fixture.restingOrigin();
        RawConnection caller = fixture.connect()) {
      caller.send(InboundFixture.get("/answered", DEADLINE_MILLIS));
      assertThat(origin.readHead()).startsWith("GET /answered ");
      fixture.blockReading();
      origin.send("HTTP/1.1 204 No Content\r\n\r\n");
      fixture.standLate();
      fixture.advance(DEADLINE_MILLIS);
      fixture.keepDeadlines();
      fixture.readOn();

      assertThat(caller.read().status()).isEqualTo(204);
    }
  }

  /** The task comes from another thread while the selector thread is busy for long. */
  @Test
  void aCheckThatWaitsForReadingIsMadeThoughNothingArrives() throws Exception {
    fixture.blockReading();
    fixture.standLate();
    CountDownLatch checked = new CountDownLatch(1);
    fixture.checkTimeouts(checked::countDown);
    fixture.readOn();

    assertThat(checked.await(20, TimeUnit.SECONDS)).isTrue();
  }

  /** The connection has opened, and the thread that is to hear of it stands still. */
  @Test
  void aConnectionThatHasOpenedUnreadIsNotGivenUp() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      fixture.blockReadingBehind(caller, InboundFixture.get("/connecting", DEADLINE_MILLIS));
      fixture.standLate();
      fixture.advance(DEADLINE_MILLIS / 2);
      fixture.giveUpLateConnections();
      fixture.readOn();

      try (RawConnection origin = fixture.acceptOrigin()) {
        assertThat(origin.readHead()).startsWith("GET /connecting ");
      }
    }
  }
}
