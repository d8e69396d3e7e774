package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A connection that seems to rest, while a request of its caller lies unread in the socket.
 *
 * <p>What happened: timers ran after a stretch in which the process had no processor, or was
 * paused, before the sockets were read. A connection whose request had arrived meanwhile had no
 * request under way by the node's own count, and was closed for having rested too long; its caller
 * had used it in time. Whether it rests is now asked on the thread that reads, after that thread
 * has read all that had arrived.
 */
@Timeout(60)
class UnreadRequestTest extends InboundFixtureTest {
  private static final long IDLE_MILLIS = 15_000;
  private static final long DISCARD_MILLIS = 2_000;

  @Test
  void isAnsweredThoughTheConnectionSeemedToRestForTooLong() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      fixture.exchange(caller);
      fixture.blockReading();
      caller.send(InboundFixture.REFUSED);
      fixture.advance(IDLE_MILLIS);
      fixture.filter().expire(IDLE_MILLIS, DISCARD_MILLIS);
      fixture.readOn();

      Message answer = caller.read();
      assertThat(answer).as("the connection was closed").isNotNull();
      assertThat(answer.status()).isEqualTo(404);
    }
  }

  @Test
  void aConnectionThatRestsIsEnded() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      fixture.exchange(caller);
      fixture.advance(IDLE_MILLIS);
      fixture.filter().expire(IDLE_MILLIS, DISCARD_MILLIS);

      assertThat(caller.endsNow()).isTrue();
    }
  }

  /** It arrives while the thread that reads is busy with the request in front. */
  @Test
  void isAnsweredThoughTheNodeLeavesWithTheAnswerInFront() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      fixture.exchange(caller);
      fixture.leave();
      fixture.blockReadingBehind(caller, "");
      caller.send(InboundFixture.REFUSED);
      fixture.readOn();

      assertAnsweredLast(caller);
    }
  }

  /** The codec has it in hand while the request in front is answered. */
  @Test
  void isAnsweredThoughItWasReadTogetherWithTheOneInFront() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      fixture.leave();
      caller.send(InboundFixture.REFUSED + InboundFixture.REFUSED);

      assertAnsweredLast(caller);
    }
  }

  /** The end of the process does not wait for what the codec has in hand. */
  @Test
  void isAnsweredThoughTheConnectionEndsAtRest() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      fixture.exchange(caller);
      fixture.blockReadingBehind(caller, "");
      caller.send(InboundFixture.REFUSED + InboundFixture.REFUSED);
      fixture.filter().endConnections();
      fixture.readOn();

      for (int count = 0; count < 3; count++) {
        assertThat(caller.read().status()).isEqualTo(404);
      }
      assertThat(caller.read()).isNull();
    }
  }

  private static void assertAnsweredLast(RawConnection caller) throws Exception {
    RawConnection.Message first = caller.read();
    assertThat(first.status()).isEqualTo(404);
    assertThat(first.header("Connection")).isNull();
    RawConnection.Message second = caller.read();
    assertThat(second).as("the connection ended over a request").isNotNull();
    assertThat(second.header("Connection")).isEqualTo("close");
    assertThat(caller.read()).isNull();
  }
}
