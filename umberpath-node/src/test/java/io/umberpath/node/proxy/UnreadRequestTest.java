package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A connection that seems idle while a request of its client is still unread in the socket.
 *
 * <p>After a time in which the process got no CPU, or was paused, timers run before the sockets are
 * read. A connection whose request had arrived meanwhile then had no request in flight by the
 * node's count and was closed as idle, although its client had used it in time. Idleness must
 * therefore be checked on the selector thread, after it has read all input that had arrived.
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

  /** The request arrives while the selector thread is busy with the previous one. */
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

  /** The codec holds the request undecoded while the previous one is answered. */
  @Test
  void isAnsweredThoughItWasReadWithThePreviousRequest() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.startDraining();
      client.send(InboundFixture.REFUSED + InboundFixture.REFUSED);

      assertLastResponseCloses(client);
    }
  }

  /** Shutdown must wait for a request that the codec holds undecoded. */
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
    assertThat(second).as("the connection was closed with a request unanswered").isNotNull();
    assertThat(second.header("Connection")).isEqualTo("close");
    assertThat(client.read()).isNull();
  }
}
