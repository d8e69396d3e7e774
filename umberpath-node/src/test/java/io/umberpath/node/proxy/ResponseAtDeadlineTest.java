package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A response that is being sent when its deadline passes. */
@Timeout(60)
class ResponseAtDeadlineTest {
  private static final int HALF_BYTES = 100_000;
  private static final long DEADLINE_MILLIS = 30_000;
  private static final long JUST_BEFORE_MILLIS = 300;
  private static final long JUST_AFTER_MILLIS = 150;
  private static final long STALL_MILLIS = 2_000;

  /** Long enough for the proxy to check its deadlines. */
  private static final long DEADLINE_CHECK_MILLIS = 200;

  /** Longest time after its deadline for which a response may be sent. */
  private static final long OVERRUN_BOUND_MILLIS = 500;

  private static final int END_OF_STREAM = -1;
  private static final int TIMEOUT_SECONDS = 20;

  private final CountDownLatch requestReceived = new CountDownLatch(1);
  private final CountDownLatch responseStarted = new CountDownLatch(1);
  private final CountDownLatch secondHalfReleased = new CountDownLatch(1);
  private ScriptedBackend backend;
  private ProxyFixture fixture;

  @BeforeEach
  void start() throws IOException {
    backend = new ScriptedBackend(this::respondInHalves);
    fixture = new ProxyFixture(backend);
  }

  @AfterEach
  void stop() throws IOException {
    responseStarted.countDown();
    secondHalfReleased.countDown();
    fixture.close();
    backend.close();
  }

  private void respondInHalves(ScriptedBackend self, RawConnection connection) throws IOException {
    for (var request = connection.read(); request != null; request = connection.read()) {
      requestReceived.countDown();
      await(responseStarted);
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + 2 * HALF_BYTES + "\r\n\r\n");
      connection.send("x".repeat(HALF_BYTES));
      await(secondHalfReleased);
      connection.send("x".repeat(HALF_BYTES));
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static String request(long deadlineMillis) {
    return "GET / HTTP/1.1\r\nHost: a\r\nUmberpath-Deadline-Ms: " + deadlineMillis + "\r\n\r\n";
  }

  /** Truncating it would close the connection although the rest is about to arrive. */
  @Test
  void continuesWithPipelinedResponsesWhileBeingSent() throws Exception {
    fixture.stopClock();
    try (RawConnection client = fixture.connect()) {
      client.send(request(DEADLINE_MILLIS) + request(ProxyFixture.TIMEOUT_MILLIS));
      startResponseJustBeforeDeadline(client);
      fixture.advance(JUST_BEFORE_MILLIS + JUST_AFTER_MILLIS);
      Thread.sleep(DEADLINE_CHECK_MILLIS);
      secondHalfReleased.countDown();

      assertThat(client.input().readNBytes(HALF_BYTES)).hasSize(HALF_BYTES);
      assertThat(client.read().body()).hasSize(2 * HALF_BYTES);
    }
  }

  /** A response of which parts kept arriving was never ended, and held its slot. */
  @Test
  void isTruncatedHalfASecondAfterTheDeadlineWhileBeingSent() throws Exception {
    fixture.stopClock();
    try (RawConnection client = fixture.connect()) {
      client.send(request(DEADLINE_MILLIS) + request(ProxyFixture.TIMEOUT_MILLIS));
      startResponseJustBeforeDeadline(client);
      fixture.advance(JUST_BEFORE_MILLIS + OVERRUN_BOUND_MILLIS);
      client.socket.setSoTimeout((int) STALL_MILLIS);

      assertThat(client.input().read()).isEqualTo(END_OF_STREAM);
    } catch (EOFException | SocketException truncated) {
      assertThat(truncated).isNotNull();
    }
  }

  /** A response that has arrived is not dropped because its client reads slowly. */
  @Test
  void restThatHasArrivedIsDeliveredToASlowClient() throws Exception {
    fixture.stopClock();
    try (RawConnection client = fixture.connect()) {
      client.send(request(DEADLINE_MILLIS));
      startResponseJustBeforeDeadline(client);
      secondHalfReleased.countDown();
      Thread.sleep(DEADLINE_CHECK_MILLIS);
      fixture.advance(JUST_BEFORE_MILLIS);
      Thread.sleep(DEADLINE_CHECK_MILLIS);
      fixture.advance(OVERRUN_BOUND_MILLIS);
      Thread.sleep(DEADLINE_CHECK_MILLIS);

      assertThat(client.input().readNBytes(HALF_BYTES)).hasSize(HALF_BYTES);
    }
  }

  /** The same when the drain timeout expires and requests without a response are aborted. */
  @Test
  void continuesWhenDrainTimeoutAbortsOtherRequests() throws Exception {
    try (RawConnection client = fixture.connect()) {
      client.send(request(DEADLINE_MILLIS));
      startResponseJustBeforeDeadline(client);
      assertThat(fixture.edge.drain(Duration.ofMillis(DEADLINE_CHECK_MILLIS))).isFalse();
      secondHalfReleased.countDown();

      assertThat(client.input().readNBytes(HALF_BYTES)).hasSize(HALF_BYTES);
    }
  }

  @Test
  void isTruncatedOnceItStalls() throws Exception {
    try (RawConnection client = fixture.connect()) {
      client.send(request(DEADLINE_MILLIS));
      startResponseJustBeforeDeadline(client);
      fixture.advance(STALL_MILLIS);

      assertThat(client.input().readNBytes(HALF_BYTES)).isEmpty();
    } catch (EOFException truncated) {
      assertThat(truncated).isNotNull();
    }
  }

  private void startResponseJustBeforeDeadline(RawConnection client) throws IOException {
    await(requestReceived);
    fixture.advance(DEADLINE_MILLIS - JUST_BEFORE_MILLIS);
    responseStarted.countDown();
    assertThat(client.readHead()).startsWith("HTTP/1.1 200");
    client.input().readNBytes(HALF_BYTES);
  }
}
