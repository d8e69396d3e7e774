package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that come while a listener ends. */
@Timeout(60)
class ListenerEndTest extends InboundFixtureTest {
  private static final int WAITING = 20;
  private static final int TIMEOUT_MILLIS = 3_000;
  private static final int NOTICE_MILLIS = 100;
  private static final long BOUND_MILLIS = 5_000;

  @Test
  void aConnectionAcceptedAfterTheOthersWereEndedIsEndedToo() throws Exception {
    fixture.filter().endConnections();
    try (RawConnection caller = fixture.connect()) {
      caller.socket.setSoTimeout(TIMEOUT_MILLIS);

      assertThat(caller.endsNow()).isTrue();
    }
  }

  /** What a peer has not read is lost if the process ends before the peer does. */
  @Test
  void theEndWaitsForAPeerThatHasNotReadItsAnswer() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      caller.send(InboundFixture.REFUSED);
      fixture.awaitAccepted();
      Thread drain = new Thread(this::drain);
      drain.start();
      assertThat(caller.readHead()).startsWith("HTTP/1.1 404");
      fixture.advance(BOUND_MILLIS - 1);
      drain.join(NOTICE_MILLIS);
      assertThat(drain.isAlive()).as("waits for the peer").isTrue();
      caller.socket.close();
      drain.join(TIMEOUT_MILLIS);
      assertThat(drain.isAlive()).as("waits on though the peer has ended").isFalse();
    }
  }

  @Test
  void theEndDoesNotWaitForAPeerBeyondItsBound() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      caller.send(InboundFixture.REFUSED);
      caller.readHead();
      fixture.advance(BOUND_MILLIS);
      drain();
    }
  }

  private void drain() {
    try {
      fixture.drain(BOUND_MILLIS);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closing a listener resets the connections that wait to be accepted. */
  @Test
  void connectionsThatWaitToBeAcceptedAreAnsweredBeforeTheListenerCloses() throws Exception {
    fixture.blockReading();
    List<RawConnection> callers = new ArrayList<>();
    for (int count = 0; count < WAITING; count++) {
      RawConnection caller = fixture.connect();
      caller.socket.setSoTimeout(TIMEOUT_MILLIS);
      caller.send(InboundFixture.REFUSED);
      callers.add(caller);
    }
    fixture.listener().closeWhenEmpty();
    fixture.filter().endConnections();
    fixture.readOn();
    for (RawConnection caller : callers) {
      assertThat(caller.read()).as("answer").isNotNull();
      caller.close();
    }
  }
}
