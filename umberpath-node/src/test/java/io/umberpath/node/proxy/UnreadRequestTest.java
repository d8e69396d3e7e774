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
  private static final long LINGER_MILLIS = 2_000;

  @Test
  void isAnsweredThoughTheConnectionSeemedIdleForTooLong() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.exchange(client);
      fixture.blockSelector();
      client.send(InboundFixture.REFUSED);
      fixture.advance(IDLE_MILLIS);
      fixture.filter().expire(IDLE_MILLIS, LINGER_MILLIS);
      fixture.unblockSelector();

      Message response = client.read();
      assertThat(response).as("the connection was closed").isNotNull();
      assertThat(response.status()).isEqualTo(404);
    }
  }

  @Test
  void idleConnectionIsEnded() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.exchange(client);
      fixture.advance(IDLE_MILLIS);
      fixture.filter().expire(IDLE_MILLIS, LINGER_MILLIS);

      assertThat(client.endsNow()).isTrue();
    }
  }

  /** It arrives while the thread that reads is busy with the request in front. */
  @Test
  void isAnsweredThoughTheNodeDrainsWithThePreviousResponse() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.exchange(client);
      fixture.startDraining();
      fixture.blockSelectorBehind(client, "");
      client.send(InboundFixture.REFUSED);
      fixture.unblockSelector();

      assertLastResponseCloses(client);
    }
  }

  /** The codec has it in hand while the request in front is answered. */
  @Test
  void isAnsweredThoughItWasReadWithThePreviousRequest() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.startDraining();
      client.send(InboundFixture.REFUSED + InboundFixture.REFUSED);

      assertLastResponseCloses(client);
    }
  }

  /** The end of the process does not wait for what the codec has in hand. */
  @Test
  void isAnsweredThoughTheConnectionEndsWhenIdle() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.exchange(client);
      fixture.blockSelectorBehind(client, "");
      client.send(InboundFixture.REFUSED + InboundFixture.REFUSED);
      fixture.filter().endConnections();
      fixture.unblockSelector();

      for (int count = 0; count < 3; count++) {
        assertThat(client.read().status()).isEqualTo(404);
      }
      assertThat(client.read()).isNull();
    }
  }

  private static void assertLastResponseCloses(RawConnection client) throws Exception {
    RawConnection.Message first = client.read();
    assertThat(first.status()).isEqualTo(404);
    assertThat(first.header("Connection")).isNull();
    RawConnection.Message second = client.read();
    assertThat(second).as("the connection ended over a request").isNotNull();
    assertThat(second.header("Connection")).isEqualTo("close");
    assertThat(client.read()).isNull();
  }
}
