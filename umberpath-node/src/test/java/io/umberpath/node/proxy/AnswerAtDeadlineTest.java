package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An answer that is on its way when its deadline passes. */
@Timeout(60)
class AnswerAtDeadlineTest {
  private static final int HALF_BYTES = 100_000;
  private static final long DEADLINE_MILLIS = 30_000;
  private static final long JUST_BEFORE_MILLIS = 300;
  private static final long STALL_MILLIS = 2_000;

  /** Long enough for the proxy to look at its deadlines. */
  private static final long LOOK_MILLIS = 200;

  private static final int PATIENCE_SECONDS = 20;

  private final CountDownLatch atWork = new CountDownLatch(1);
  private final CountDownLatch begun = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private ScriptedBackend backend;
  private ProxyFixture fixture;

  @BeforeEach
  void start() throws IOException {
    backend = new ScriptedBackend(this::answerInHalves);
    fixture = new ProxyFixture(backend);
  }

  @AfterEach
  void stop() throws IOException {
    begun.countDown();
    released.countDown();
    fixture.close();
    backend.close();
  }

  private void answerInHalves(ScriptedBackend self, RawConnection connection) throws IOException {
    for (var request = connection.read(); request != null; request = connection.read()) {
      atWork.countDown();
      await(begun);
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + 2 * HALF_BYTES + "\r\n\r\n");
      connection.send("x".repeat(HALF_BYTES));
      await(released);
      connection.send("x".repeat(HALF_BYTES));
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static String request(long deadlineMillis) {
    return "GET / HTTP/1.1\r\nHost: a\r\nUmberpath-Deadline-Ms: " + deadlineMillis + "\r\n\r\n";
  }

  /** Cutting it off would end the connection, with the answers behind it. */
  @Test
  void goesOnWithThoseBehindItWhileItIsOnItsWay() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      caller.send(request(DEADLINE_MILLIS) + request(ProxyFixture.TIMEOUT_MILLIS));
      beginJustBeforeTheDeadline(caller);
      fixture.advance(2 * JUST_BEFORE_MILLIS);
      Thread.sleep(LOOK_MILLIS);
      released.countDown();

      assertThat(caller.input().readNBytes(HALF_BYTES)).hasSize(HALF_BYTES);
      assertThat(caller.read().body()).hasSize(2 * HALF_BYTES);
    }
  }

  /** The same at the end of a planned stop, when work that has not been answered is cut off. */
  @Test
  void goesOnWhenAPlannedStopCutsOffTheRest() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      caller.send(request(DEADLINE_MILLIS));
      beginJustBeforeTheDeadline(caller);
      assertThat(fixture.edge.drain(Duration.ofMillis(LOOK_MILLIS))).isFalse();
      released.countDown();

      assertThat(caller.input().readNBytes(HALF_BYTES)).hasSize(HALF_BYTES);
    }
  }

  @Test
  void isCutOffOnceItStandsStill() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      caller.send(request(DEADLINE_MILLIS));
      beginJustBeforeTheDeadline(caller);
      fixture.advance(STALL_MILLIS);

      assertThat(caller.input().readNBytes(HALF_BYTES)).isEmpty();
    } catch (EOFException cutOff) {
      assertThat(cutOff).isNotNull();
    }
  }

  private void beginJustBeforeTheDeadline(RawConnection caller) throws IOException {
    await(atWork);
    fixture.advance(DEADLINE_MILLIS - JUST_BEFORE_MILLIS);
    begun.countDown();
    assertThat(caller.readHead()).startsWith("HTTP/1.1 200");
    caller.input().readNBytes(HALF_BYTES);
  }
}
