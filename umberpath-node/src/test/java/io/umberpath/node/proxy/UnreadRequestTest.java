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
}
