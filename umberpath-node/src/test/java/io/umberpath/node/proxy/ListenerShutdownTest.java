package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that arrive while a listener shuts down. */
@Timeout(60)
class ListenerShutdownTest extends InboundFixtureTest {
  private static final int QUEUED_CONNECTIONS = 20;
  private static final int TIMEOUT_MILLIS = 3_000;
  private static final int STILL_WAITING_MILLIS = 100;
  private static final long DRAIN_TIMEOUT_MILLIS = 5_000;

  @Test
  void connectionAcceptedDuringShutdownIsEnded() throws Exception {
    fixture.filter().endConnections();
    try (RawConnection client = fixture.connect()) {
      client.socket.setSoTimeout(TIMEOUT_MILLIS);

      assertThat(client.endsNow()).isTrue();
    }
  }

  /** Output that the peer has not read is lost if the process exits before the peer closes. */
  @Test
  void drainWaitsForAPeerThatHasNotReadItsResponse() throws Exception {
    try (RawConnection client = fixture.connect()) {
      client.send(InboundFixture.REFUSED);
      fixture.awaitAccepted();
      Thread drain = new Thread(this::drain);
      drain.start();
      assertThat(client.readHead()).startsWith("HTTP/1.1 404");
      fixture.advance(DRAIN_TIMEOUT_MILLIS - 1);
      drain.join(STILL_WAITING_MILLIS);
      assertThat(drain.isAlive()).as("drain waits for the peer").isTrue();
      client.socket.close();
      drain.join(TIMEOUT_MILLIS);
      assertThat(drain.isAlive()).as("drain still waits although the peer has closed").isFalse();
    }
  }

  @Test
  void drainDoesNotWaitForAPeerBeyondItsTimeout() throws Exception {
    try (RawConnection client = fixture.connect()) {
      client.send(InboundFixture.REFUSED);
      client.readHead();
      fixture.advance(DRAIN_TIMEOUT_MILLIS);
      drain();
    }
  }

  private void drain() {
    try {
      fixture.drain(DRAIN_TIMEOUT_MILLIS);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closing a listener resets the connections in its accept queue. */
  @Test
  void connectionsInTheAcceptQueueAreAnsweredBeforeTheListenerCloses() throws Exception {
    fixture.blockSelector();
    List<RawConnection> clients = new ArrayList<>();
    for (int count = 0; count < QUEUED_CONNECTIONS; count++) {
      RawConnection client = fixture.connect();
      client.socket.setSoTimeout(TIMEOUT_MILLIS);
      client.send(InboundFixture.REFUSED);
      clients.add(client);
    }
    fixture.listener().closeWhenEmpty();
    fixture.filter().endConnections();
    fixture.unblockSelector();
    for (RawConnection client : clients) {
      assertThat(client.read()).as("response").isNotNull();
      client.close();
    }
  }
}
