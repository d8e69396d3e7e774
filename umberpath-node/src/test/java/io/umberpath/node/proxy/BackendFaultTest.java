package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * For each point in an exchange and each fault of the backend: the verdict, the number of
 * deliveries to a backend, and the response. Two backends share one script in which the first
 * request meets the fault and every later one succeeds, so that a second delivery is counted.
 */
class BackendFaultTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final long DEADLINE_MILLIS = 20_000;
  private static final String BODY = "0123456789";

  private enum Point {
    CONNECTED,
    HEAD_SENT,
    HALF_BODY,
    BODY_SENT,
    HALF_RESPONSE_HEAD,
    /**
     * The first half of a response that is short enough to be forwarded only when it is complete.
     */
    HALF_SHORT_RESPONSE,
    HALF_RESPONSE,
    HALF_CHUNKED_RESPONSE,
    AFTER_RESPONSE
  }

  private enum Fault {
    RESET,
    CLOSE,
    SILENCE,
    GARBAGE,
    STRAY_RESPONSE
  }

  /** Counts deliveries to both backends and applies the fault to the first. */
  private static final class Script implements ScriptedBackend.Script {
    final AtomicInteger deliveries = new AtomicInteger();
    final AtomicInteger runs = new AtomicInteger();
    final CountDownLatch silenceStarted = new CountDownLatch(1);
    final CountDownLatch clientReceivedResponse = new CountDownLatch(1);
    final CountDownLatch faultOver = new CountDownLatch(1);
    private final Point point;
    private final Fault fault;

    Script(Point point, Fault fault) {
      this.point = point;
      this.fault = fault;
    }

    @Override
    public void run(ScriptedBackend backend, RawConnection connection) throws IOException {
      int first = connection.input().read();
      if (first < 0) {
        return;
      }
      if (deliveries.incrementAndGet() > 1) {
        respondToAll(connection);
        return;
      }
      if (point != Point.CONNECTED) {
        connection.readHead();
      }
      if (point == Point.HALF_BODY) {
        connection.input().readNBytes(BODY.length() / 2);
      } else if (point.compareTo(Point.HALF_BODY) > 0) {
        connection.input().readNBytes(BODY.length());
        runs.incrementAndGet();
      }
      connection.send(sentBefore(point));
      try {
        fail(connection);
      } finally {
        faultOver.countDown();
      }
    }

    private void respondToAll(RawConnection connection) throws IOException {
      connection.readHead();
      connection.input().readNBytes(BODY.length());
      runs.incrementAndGet();
      connection.send(OK);
      while (connection.read() != null) {
        deliveries.incrementAndGet();
        runs.incrementAndGet();
        connection.send(OK);
      }
    }

    private static String sentBefore(Point point) {
      return switch (point) {
        case HALF_RESPONSE_HEAD -> "HTTP/1.1 200 OK\r\nContent-Le";
        case HALF_SHORT_RESPONSE -> "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n01234";
        case HALF_RESPONSE -> "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n01234";
        case HALF_CHUNKED_RESPONSE ->
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n";
        case AFTER_RESPONSE -> OK;
        default -> "";
      };
    }

    private void fail(RawConnection connection) throws IOException {
      switch (fault) {
        case RESET -> connection.reset();
        case CLOSE -> connection.close();
        case GARBAGE -> {
          connection.send("\u0000\u0001 nonsense\r\n\r\n");
          connection.endsNow();
        }
        case STRAY_RESPONSE -> {
          connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
          connection.endsNow();
        }
        case SILENCE -> {
          silenceStarted.countDown();
          await(clientReceivedResponse);
          connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
          connection.endsNow();
        }
        default -> throw new AssertionError(fault);
      }
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(30, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }

  /** Point, fault, method (PUT may be retried, POST not), status, verdict, deliveries. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "CONNECTED           | RESET   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "CONNECTED           | CLOSE   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "CONNECTED           | SILENCE | POST | 504 | may-have-run; reason=deadline        | 1",
        "CONNECTED           | GARBAGE | POST | 502 | may-have-run; reason=bad-answer      | 1",
        "HEAD_SENT           | RESET   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "HEAD_SENT           | CLOSE   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "HEAD_SENT           | SILENCE | POST | 504 | may-have-run; reason=deadline        | 1",
        "HEAD_SENT           | GARBAGE | POST | 502 | may-have-run; reason=bad-answer      | 1",
        "HALF_BODY           | RESET   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "HALF_BODY           | CLOSE   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "HALF_BODY           | SILENCE | POST | 504 | may-have-run; reason=deadline        | 1",
        "HALF_BODY           | GARBAGE | POST | 502 | may-have-run; reason=bad-answer      | 1",
        "BODY_SENT           | RESET   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "BODY_SENT           | CLOSE   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "BODY_SENT           | SILENCE | POST | 504 | may-have-run; reason=deadline        | 1",
        "BODY_SENT           | GARBAGE | POST | 502 | may-have-run; reason=bad-answer      | 1",
        "HALF_RESPONSE_HEAD  | RESET   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "HALF_RESPONSE_HEAD  | CLOSE   | POST | 502 | may-have-run; reason=connection-lost | 1",
        "HALF_RESPONSE_HEAD  | SILENCE | POST | 504 | may-have-run; reason=deadline        | 1",
        "HALF_RESPONSE_HEAD  | GARBAGE | POST | 502 | may-have-run; reason=bad-answer      | 1",
        "CONNECTED           | RESET   | PUT  | 200 |                                      | 2",
        "CONNECTED           | SILENCE | PUT  | 504 | may-have-run; reason=deadline        | 1",
        "CONNECTED           | GARBAGE | PUT  | 200 |                                      | 2",
        "HEAD_SENT           | RESET   | PUT  | 200 |                                      | 2",
        "HEAD_SENT           | GARBAGE | PUT  | 200 |                                      | 2",
        "HALF_BODY           | RESET   | PUT  | 200 |                                      | 2",
        "HALF_BODY           | GARBAGE | PUT  | 200 |                                      | 2",
        "BODY_SENT           | RESET   | PUT  | 200 |                                      | 2",
        "BODY_SENT           | CLOSE   | PUT  | 200 |                                      | 2",
        "BODY_SENT           | SILENCE | PUT  | 504 | may-have-run; reason=deadline        | 1",
        "BODY_SENT           | GARBAGE | PUT  | 200 |                                      | 2",
        "HALF_RESPONSE_HEAD  | RESET   | PUT  | 200 |                                      | 2",
        "HALF_RESPONSE_HEAD  | SILENCE | PUT  | 504 | may-have-run; reason=deadline        | 1",
        "HALF_RESPONSE_HEAD  | GARBAGE | PUT  | 200 |                                      | 2",
        "AFTER_RESPONSE      | RESET   | POST | 200 |                                      | 1",
        "AFTER_RESPONSE      | CLOSE   | POST | 200 |                                      | 1",
        "AFTER_RESPONSE      | SILENCE | POST | 200 |                                      | 1",
        "AFTER_RESPONSE      | GARBAGE | POST | 200 |                                      | 1",
        "AFTER_RESPONSE      | STRAY_RESPONSE | POST | 200 |                               | 1",
      })
  void reportsTheRightVerdict(
      Point point, Fault fault, String method, int status, String verdict, int deliveries)
      throws IOException {
    Script script = new Script(point, fault);
    try (ScriptedBackend one = new ScriptedBackend(script);
        ScriptedBackend other = new ScriptedBackend(script);
        ProxyFixture fixture = new ProxyFixture(one, other);
        RawConnection client = fixture.connect()) {
      client.send(request(method, DEADLINE_MILLIS));
      boolean respondsBeforeFault = point == Point.AFTER_RESPONSE;
      RawConnection.Message response = respondsBeforeFault ? client.read() : null;
      if (fault == Fault.SILENCE) {
        await(script.silenceStarted);
        fixture.advance(DEADLINE_MILLIS);
      }
      response = respondsBeforeFault ? response : client.read();
      assertThat(response.status()).isEqualTo(status);
      assertThat(response.header("Umberpath-Verdict")).isEqualTo(verdict);
      assertThat(response.body()).isEqualTo(status == 200 ? "ok" : verdict + "\n");
      assertThat(script.deliveries).hasValue(deliveries);
      assertThat(script.runs.get()).isLessThanOrEqualTo(deliveries);
      script.clientReceivedResponse.countDown();
      // Without an id, a response that arrives after the next request was sent cannot be told from
      // that request's own; refusesResponseWithAnotherRequestId covers that order.
      await(script.faultOver);
      assertNextResponseIsItsOwn(client);
    }
  }

  /** Method, status, body, deliveries after the first request. */
  @ParameterizedTest
  @CsvSource({"POST, 502, may-have-run; reason=bad-answer, 1", "PUT, 200, own, 2"})
  void refusesResponseWithAnotherRequestId(String method, int status, String body, int deliveries)
      throws IOException {
    AtomicInteger delivered = new AtomicInteger();
    AtomicReference<String> firstId = new AtomicReference<>();
    ScriptedBackend.Script script =
        (backend, connection) -> {
          for (RawConnection.Message request = connection.read();
              request != null;
              request = connection.read()) {
            String id = request.header("Umberpath-Request-Id");
            int number = delivered.getAndIncrement();
            firstId.compareAndSet(null, id);
            connection.send(
                number == 1 ? responseWithId(firstId.get(), "late") : responseWithId(id, "own"));
          }
        };
    try (ScriptedBackend one = new ScriptedBackend(script);
        ScriptedBackend other = new ScriptedBackend(script);
        ProxyFixture fixture = new ProxyFixture(one, other);
        RawConnection client = fixture.connect()) {
      client.send(request("PUT", DEADLINE_MILLIS));
      assertThat(client.read().body()).isEqualTo("own");
      client.send(request(method, DEADLINE_MILLIS));
      RawConnection.Message response = client.read();
      assertThat(response.status()).isEqualTo(status);
      assertThat(response.body().strip()).isEqualTo(body);
      assertThat(delivered).hasValue(1 + deliveries);
    }
  }

  private static String responseWithId(String id, String body) {
    return "HTTP/1.1 200 OK\r\nUmberpath-Request-Id: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static void assertNextResponseIsItsOwn(RawConnection client) throws IOException {
    client.send(request("PUT", DEADLINE_MILLIS));
    RawConnection.Message next = client.read();
    assertThat(next.status()).isEqualTo(200);
    assertThat(next.body()).isEqualTo("ok");
  }

  /** A response whose start has been forwarded can only be truncated visibly. */
  @ParameterizedTest
  @CsvSource({
    "HALF_RESPONSE, RESET",
    "HALF_RESPONSE, CLOSE",
    "HALF_RESPONSE, SILENCE",
    "HALF_CHUNKED_RESPONSE, RESET",
    "HALF_CHUNKED_RESPONSE, CLOSE",
    "HALF_CHUNKED_RESPONSE, SILENCE",
    "HALF_CHUNKED_RESPONSE, GARBAGE",
    "HALF_CHUNKED_RESPONSE, STRAY_RESPONSE",
  })
  void truncatesResponsesThatCannotBeCompleted(Point point, Fault fault) throws IOException {
    Script script = new Script(point, fault);
    try (ScriptedBackend one = new ScriptedBackend(script);
        ScriptedBackend other = new ScriptedBackend(script);
        ProxyFixture fixture = new ProxyFixture(one, other);
        RawConnection client = fixture.connect()) {
      client.send(request("PUT", DEADLINE_MILLIS));
      String begun = "";
      if (fault == Fault.SILENCE) {
        // The backend has sent the start of the response, but until the proxy has forwarded it, the
        // deadline correctly ends the request with a complete 504.
        begun = readUntil(client, "01234");
        fixture.advance(DEADLINE_MILLIS);
      }
      String received = begun + readUntilTruncated(client);
      assertThat(received).doesNotContain("stray").doesNotContain("late").doesNotContain("\r\n0\r");
      assertThat(script.deliveries).hasValue(1);
      script.clientReceivedResponse.countDown();
    }
  }

  /**
   * Nothing of the response has been forwarded, so that the request is retried where that is
   * permitted.
   */
  @ParameterizedTest
  @CsvSource({"PUT, RESET, 200", "PUT, CLOSE, 200", "POST, RESET, 502", "POST, CLOSE, 502"})
  void truncatedShortResponseFailsOnlyItsRequest(String method, Fault fault, int status)
      throws IOException {
    Script script = new Script(Point.HALF_SHORT_RESPONSE, fault);
    try (ScriptedBackend one = new ScriptedBackend(script);
        ScriptedBackend other = new ScriptedBackend(script);
        ProxyFixture fixture = new ProxyFixture(one, other);
        RawConnection client = fixture.connect()) {
      client.send(request(method, DEADLINE_MILLIS));
      assertThat(client.read().status()).isEqualTo(status);
      assertNextResponseIsItsOwn(client);
    }
  }

  private static String readUntil(RawConnection client, String end) throws IOException {
    StringBuilder received = new StringBuilder();
    while (received.indexOf(end) < 0) {
      int value = client.input().read();
      assertThat(value).as("after " + received).isNotNegative();
      received.append((char) value);
    }
    return received.toString();
  }

  private static String readUntilTruncated(RawConnection client) {
    StringBuilder received = new StringBuilder();
    try {
      for (int value = client.input().read(); value >= 0; value = client.input().read()) {
        received.append((char) value);
      }
    } catch (java.net.SocketException reset) {
      received.append("[reset]");
    } catch (IOException other) {
      throw new AssertionError("the client's connection was left open: " + received, other);
    }
    return received.toString();
  }

  @Test
  void retriesNonIdempotentRequestsOnlyIfTheyDidNotRun() throws IOException {
    ScriptedBackend gone = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
    gone.close();
    try (ScriptedBackend healthy = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(gone, healthy);
        RawConnection client = fixture.connect()) {
      for (int round = 0; round < 4; round++) {
        client.send(request("POST", DEADLINE_MILLIS));
        assertThat(client.read().status()).isEqualTo(200);
      }
      assertThat(healthy.runs).hasValue(4);
    }
  }

  @Test
  void propagatesClientCloseToTheBackend() throws Exception {
    CountDownLatch running = new CountDownLatch(1);
    CountDownLatch ended = new CountDownLatch(1);
    ScriptedBackend.Script slow =
        (backend, connection) -> {
          backend.ran(connection.read());
          running.countDown();
          if (connection.endsNow()) {
            ended.countDown();
          }
        };
    try (ScriptedBackend backend = new ScriptedBackend(slow);
        ProxyFixture fixture = new ProxyFixture(backend)) {
      RawConnection client = fixture.connect();
      client.send(request("POST", 60_000));
      assertThat(running.await(20, TimeUnit.SECONDS)).isTrue();
      client.close();
      assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  @Test
  void reducesTheDeadlineAtEachHop() throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send(request("POST", 1_234));
      assertThat(client.read().status()).isEqualTo(200);
      String left = backend.requests.remove().header("Umberpath-Deadline-Ms");
      assertThat(Integer.parseInt(left)).isBetween(1, 1_234);
      client.send(request("POST", 99_999_999));
      assertThat(client.read().status()).isEqualTo(200);
      left = backend.requests.remove().header("Umberpath-Deadline-Ms");
      assertThat(Integer.parseInt(left)).isBetween(1, (int) ProxyFixture.TIMEOUT_MILLIS);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "0, 504, not-run; reason=deadline",
    "x, 400, not-run; reason=bad-request",
    "-5, 400, not-run; reason=bad-request"
  })
  void refusesExpiredOrMalformedDeadlines(String deadline, int status, String verdict)
      throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send("GET / HTTP/1.1\r\nHost: a\r\nUmberpath-Deadline-Ms: " + deadline + "\r\n\r\n");
      RawConnection.Message response = client.read();
      assertThat(response.status()).isEqualTo(status);
      assertThat(response.header("Umberpath-Verdict")).isEqualTo(verdict);
      assertThat(backend.connections).hasValue(0);
    }
  }

  private static String request(String method, long deadlineMillis) {
    return method
        + " / HTTP/1.1\r\nHost: a\r\nUmberpath-Deadline-Ms: "
        + deadlineMillis
        + "\r\nContent-Length: "
        + BODY.length()
        + "\r\n\r\n"
        + BODY;
  }
}
