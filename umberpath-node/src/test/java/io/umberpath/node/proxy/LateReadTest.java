package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import io.umberpath.node.proxy.http.ProxyHeaders;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that a node reads late are not sent on for callers that cannot use the answer. */
@Timeout(60)
class LateReadTest extends InboundFixtureTest {
  private static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n\r\n";
  private static final int MAX_PIPELINED = 16;
  private static final long SHORT_DEADLINE_MILLIS = 200;
  private static final long LONG_DEADLINE_MILLIS = 600_000;

  /** Its caller's end lies unread behind it in the same socket. */
  @Test
  void aRequestReadTogetherWithItsCallersEndIsNotSentOn() throws Exception {
    try (RawConnection origin = fixture.restingOrigin();
        RawConnection caller = fixture.connect()) {
      fixture.exchange(caller);
      fixture.blockReading();
      caller.send(InboundFixture.get("/left"));
      caller.socket.close();
      fixture.readOnLate();

      assertNextIsSentOn(origin);
    }
  }

  /** The slot becomes free in the turn in which the end of its caller is read. */
  @Test
  void aRequestThatWaitedIsNotSentOnWhenItsCallersEndIsUnread() throws Exception {
    try (RawConnection busy = fixture.restingOrigin();
        RawConnection first = fixture.connect();
        RawConnection caller = fixture.connect()) {
      first.send(InboundFixture.get("/first"));
      assertThat(busy.readHead()).startsWith("GET /first ");
      try (RawConnection resting = fixture.restingOrigin()) {
        fixture.sendHeldBack(caller);
        fixture.blockReading();
        caller.socket.close();
        busy.send(NO_CONTENT);
        fixture.readOnLate();
        assertThat(first.read().status()).isEqualTo(204);
        first.send(InboundFixture.get("/next"));

        assertNextIsSentOn(resting);
      }
    }
  }

  /** The time in the socket counts towards the deadline. */
  @Test
  void aRequestUnreadForLongerThanItsDeadlineIsNotSentOn() throws Exception {
    try (RawConnection origin = fixture.restingOrigin();
        RawConnection caller = fixture.connect()) {
      fixture.exchange(caller);
      sendUnread(caller, InboundFixture.get("/late", SHORT_DEADLINE_MILLIS));

      assertNextIsSentOn(origin);
      Message answer = caller.read();
      assertThat(answer.status()).isEqualTo(504);
      assertThat(answer.header(ProxyHeaders.VERDICT)).isEqualTo("not-run; reason=deadline");
    }
  }

  /** The next node would begin the deadline anew. */
  @Test
  void aRequestUnreadForAPartOfItsDeadlineIsSentOnWithTheRest() throws Exception {
    try (RawConnection origin = fixture.restingOrigin();
        RawConnection caller = fixture.connect()) {
      fixture.exchange(caller);
      sendUnread(caller, InboundFixture.get("/in-time", LONG_DEADLINE_MILLIS));

      Message sentOn = origin.read();
      assertThat(sentOn.head()).startsWith("GET /in-time ");
      assertThat(Long.parseLong(sentOn.header(ProxyHeaders.DEADLINE)))
          .isBetween(1L, LONG_DEADLINE_MILLIS - ReadingBlock.LATE_MILLIS);
    }
  }

  /** The caller may have sent it late in the time for which it lay unread, and waits on. */
  @Test
  void workIsNotBrokenOffBeforeItsCallersDeadlineHasSurelyPassed() throws Exception {
    try (RawConnection origin = fixture.restingOrigin();
        RawConnection caller = fixture.connect()) {
      keepDeadlinesAtWork(caller, origin, LONG_DEADLINE_MILLIS - 1);
      origin.send(NO_CONTENT);

      assertThat(caller.read().status()).isEqualTo(204);
    }
  }

  /** Whoever waits on holds a slot of its origin. */
  @Test
  void workIsBrokenOffOnceItsCallersDeadlineHasSurelyPassed() throws Exception {
    try (RawConnection origin = fixture.restingOrigin();
        RawConnection caller = fixture.connect()) {
      keepDeadlinesAtWork(caller, origin, LONG_DEADLINE_MILLIS);

      assertThat(caller.read().status()).isEqualTo(504);
    }
  }

  /** Estimates of service times would make a back end look slow whose node is. */
  @Test
  void theTimeForWhichAnAnswerLayUnreadIsNotWorkOfItsOrigin() throws Exception {
    try (RawConnection origin = fixture.restingOrigin();
        RawConnection caller = fixture.connect()) {
      fixture.awaitWorkMicros();
      final long startNanos = System.nanoTime();
      caller.send(InboundFixture.get("/worked-on"));
      assertThat(origin.readHead()).startsWith("GET /worked-on ");
      fixture.blockReading();
      origin.send(NO_CONTENT);
      fixture.readOnLate();
      assertThat(caller.read().status()).isEqualTo(204);

      long wholeMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      long workMillis = TimeUnit.MICROSECONDS.toMillis(fixture.awaitWorkMicros());
      assertThat(wholeMillis - workMillis).isGreaterThan(ReadingBlock.LATE_MILLIS / 3);
    }
  }

  /** Reading stands still at the head of one request too many. */
  @Test
  void theEndOfACallerIsNoticedWhileReadingIsSuspended() throws Exception {
    try (RawConnection origin = fixture.restingOrigin();
        RawConnection caller = fixture.connect()) {
      caller.send(InboundFixture.get("/abandoned").repeat(MAX_PIPELINED + 1));
      assertThat(origin.readHead()).startsWith("GET /abandoned ");
      caller.socket.close();

      assertThat(origin.endsNow()).isTrue();
    }
  }

  /** Its origin works on a request that lay unread, and time goes on. */
  private void keepDeadlinesAtWork(RawConnection caller, RawConnection origin, long millis)
      throws Exception {
    fixture.exchange(caller);
    sendUnread(caller, InboundFixture.get("/late", LONG_DEADLINE_MILLIS));
    assertThat(origin.readHead()).startsWith("GET /late ");
    fixture.advance(millis);
    fixture.keepDeadlines();
  }

  private void sendUnread(RawConnection caller, String request) throws Exception {
    fixture.blockReading();
    caller.send(request);
    fixture.readOnLate();
  }

  /** Nothing has been sent on the origin's connection before. */
  private void assertNextIsSentOn(RawConnection origin) throws IOException {
    try (RawConnection next = fixture.connect()) {
      next.send(InboundFixture.get("/next"));
      assertThat(origin.readHead()).startsWith("GET /next ");
    }
  }
}
