package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import io.umberpath.node.proxy.http.ProxyHeaders;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that a node reads late are not sent for clients that cannot use the response. */
@Timeout(60)
class LateReadTest extends InboundFixtureTest {
  private static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n\r\n";
  private static final int MAX_PIPELINED = 16;
  private static final long SHORT_DEADLINE_MILLIS = 200;
  private static final long LONG_DEADLINE_MILLIS = 600_000;

  /** The client's close is still unread behind the request in the same socket. */
  @Test
  void requestReadTogetherWithItsClientsCloseIsNotSent() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      fixture.exchange(client);
      fixture.blockSelector();
      client.send(InboundFixture.get("/left"));
      client.socket.close();
      fixture.unblockSelectorLate();

      assertNextRequestIsFirstAtOrigin(origin);
    }
  }

  /** The slot becomes free in the iteration in which the client's close is read. */
  @Test
  void queuedRequestIsNotSentWhileItsClientsCloseIsUnread() throws Exception {
    try (RawConnection busy = fixture.idleOriginConnection();
        RawConnection first = fixture.connect();
        RawConnection client = fixture.connect()) {
      first.send(InboundFixture.get("/first"));
      assertThat(busy.readHead()).startsWith("GET /first ");
      try (RawConnection idle = fixture.idleOriginConnection()) {
        fixture.sendHeldRequest(client);
        fixture.blockSelector();
        client.socket.close();
        busy.send(NO_CONTENT);
        fixture.unblockSelectorLate();
        assertThat(first.read().status()).isEqualTo(204);
        first.send(InboundFixture.get("/next"));

        assertNextRequestIsFirstAtOrigin(idle);
      }
    }
  }

  /** The time in the socket counts towards the deadline. */
  @Test
  void requestUnreadForLongerThanItsDeadlineIsNotSent() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      fixture.exchange(client);
      sendWhileSelectorIsBlocked(client, InboundFixture.get("/late", SHORT_DEADLINE_MILLIS));

      assertNextRequestIsFirstAtOrigin(origin);
      Message response = client.read();
      assertThat(response.status()).isEqualTo(504);
      assertThat(response.header(ProxyHeaders.VERDICT)).isEqualTo("not-run; reason=deadline");
    }
  }

  /** The next node would otherwise restart the deadline. */
  @Test
  void requestUnreadForPartOfItsDeadlineIsSentWithTheRemainder() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      fixture.exchange(client);
      sendWhileSelectorIsBlocked(client, InboundFixture.get("/in-time", LONG_DEADLINE_MILLIS));

      Message forwarded = origin.read();
      assertThat(forwarded.head()).startsWith("GET /in-time ");
      assertThat(Long.parseLong(forwarded.header(ProxyHeaders.DEADLINE_MILLIS)))
          .isBetween(1L, LONG_DEADLINE_MILLIS - SelectorBlock.LATE_MILLIS);
    }
  }

  /**
   * The client may have sent the request late in the time for which it was unread, and may still
   * wait.
   */
  @Test
  void requestIsNotAbortedBeforeItsLatestPossibleDeadline() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      expireRequestInService(client, origin, LONG_DEADLINE_MILLIS - 1);
      origin.send(NO_CONTENT);

      assertThat(client.read().status()).isEqualTo(204);
    }
  }

  /** A request that waits longer would hold a slot of its origin. */
  @Test
  void requestIsAbortedAtItsLatestPossibleDeadline() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      expireRequestInService(client, origin, LONG_DEADLINE_MILLIS);

      assertThat(client.read().status()).isEqualTo(504);
    }
  }

  /** Otherwise service time estimates would make the backend of a slow node look slow. */
  @Test
  void serviceTimeExcludesTheTimeAResponseWasUnread() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      fixture.awaitServiceMicros();
      final long startNanos = System.nanoTime();
      client.send(InboundFixture.get("/worked-on"));
      assertThat(origin.readHead()).startsWith("GET /worked-on ");
      fixture.blockSelector();
      origin.send(NO_CONTENT);
      fixture.unblockSelectorLate();
      assertThat(client.read().status()).isEqualTo(204);

      long totalMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      long serviceMillis = TimeUnit.MICROSECONDS.toMillis(fixture.awaitServiceMicros());
      assertThat(totalMillis - serviceMillis).isGreaterThan(SelectorBlock.LATE_MILLIS / 3);
    }
  }

  /** Reading is suspended at the head of one request too many. */
  @Test
  void clientCloseIsNoticedWhileReadingIsSuspended() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      client.send(InboundFixture.get("/abandoned").repeat(MAX_PIPELINED + 1));
      assertThat(origin.readHead()).startsWith("GET /abandoned ");
      client.socket.close();

      assertThat(origin.endsNow()).isTrue();
    }
  }

  /** The origin serves a request that was unread for a while, and time passes. */
  private void expireRequestInService(RawConnection client, RawConnection origin, long millis)
      throws Exception {
    fixture.exchange(client);
    sendWhileSelectorIsBlocked(client, InboundFixture.get("/late", LONG_DEADLINE_MILLIS));
    assertThat(origin.readHead()).startsWith("GET /late ");
    fixture.advance(millis);
    fixture.expireRequests();
  }

  private void sendWhileSelectorIsBlocked(RawConnection client, String request) throws Exception {
    fixture.blockSelector();
    client.send(request);
    fixture.unblockSelectorLate();
  }

  /** Asserts that nothing else has been sent on the origin's connection before. */
  private void assertNextRequestIsFirstAtOrigin(RawConnection origin) throws IOException {
    try (RawConnection next = fixture.connect()) {
      next.send(InboundFixture.get("/next"));
      assertThat(origin.readHead()).startsWith("GET /next ");
    }
  }
}
