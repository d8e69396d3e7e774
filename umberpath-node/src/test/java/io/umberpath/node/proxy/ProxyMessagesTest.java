package io.umberpath.node.proxy;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Forms of HTTP/1.1 messages that must be forwarded completely. */
class ProxyMessagesTest {
  private static final String GET = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

  /** Method, raw response, status, body as read by the client, whether the connection is kept. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "GET  | HTTP/1.1 200 OK~Content-Length: 2~~ab              | 200 | ab      | true",
        "GET  | HTTP/1.1 200 OK~Content-Length: 0~~                | 200 | ''      | true",
        "GET  | HTTP/1.1 200 ~Content-Length: 2~~ab                | 200 | ab      | true",
        "GET  | HTTP/1.1 299 Odd Reason~Content-Length: 2~~ab      | 299 | ab      | true",
        "GET  | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a~2~bc~0~~ | 200 | abc | true",
        "GET  | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~~    | 200 | ''      | true",
        "GET  | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a~0~X-T: v~~ | 200 | a[X-T: v] | true",
        "GET  | HTTP/1.1 200 OK~Connection: close~~until close     | 200 | until close | true",
        "GET  | HTTP/1.0 200 OK~~until close                       | 200 | until close | true",
        "GET  | HTTP/1.1 204 No Content~~                          | 204 | ''      | true",
        "GET  | HTTP/1.1 304 Not Modified~ETag: x~~                | 304 | ''      | true",
        "GET  | HTTP/1.1 103 Early Hints~Link: x~~HTTP/1.1 200 OK~Content-Length: 1~~a | 103 | '' | true",
        "GET  | HTTP/1.1 200 OK~Content-Encoding: gzip~Content-Length: 3~~xyz | 200 | xyz | true",
      })
  void forwardsResponses(String method, String response, int status, String body, boolean kept)
      throws IOException {
    String raw = response.strip().replace("~", "\r\n");
    boolean closes = raw.contains("until close");
    ScriptedBackend.Script script =
        (backend, connection) -> {
          for (var request = connection.read(); request != null; request = connection.read()) {
            backend.ran(request);
            connection.send(raw);
            if (closes) {
              return;
            }
          }
        };
    try (ScriptedBackend backend = new ScriptedBackend(script);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      for (int round = 0; round < 2; round++) {
        client.send(method + " /a HTTP/1.1\r\nHost: a\r\n\r\n");
        RawConnection.Message received =
            status == 103 ? new RawConnection.Message(client.readHead(), "") : client.read();
        assertThat(received.status()).isEqualTo(status);
        assertThat(received.body()).isEqualTo(body);
        if (status == 103) {
          assertThat(received.header("Link")).isEqualTo("x");
          assertThat(client.read().body()).isEqualTo("a");
        }
      }
      assertThat(backend.runs).hasValue(2);
    }
  }

  @Test
  void forwardsHeadResponsesWithLengthAndWithoutBody() throws IOException {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n";
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(response));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      for (int round = 0; round < 3; round++) {
        client.send("HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n");
        String head = client.readHead();
        assertThat(head).startsWith("HTTP/1.1 200");
        assertThat(new RawConnection.Message(head, "").header("Content-Length")).isEqualTo("12345");
      }
      assertThat(backend.runs).hasValue(3);
    }
  }

  @Test
  void closesTheConnectionAfterResponsesOfUnknownLengthForHttp10Clients() throws IOException {
    String response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(response));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send("GET /a HTTP/1.0\r\n\r\n");
      RawConnection.Message received = client.read();
      assertThat(received.header("Transfer-Encoding")).isNull();
      assertThat(received.body()).isEqualTo("abc");
    }
  }

  @Test
  void forwardsChunkedRequestsWithTrailers() throws IOException {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                ScriptedBackend.respondingWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel");
      client.send("lo\r\n1");
      client.send("\r\n!\r\n0\r\nX-Sum: 1\r\nContent-Length: 9\r\n\r\n");
      assertThat(client.read().status()).isEqualTo(200);
      assertThat(backend.requests.remove().body()).isEqualTo("hello![X-Sum: 1]");
    }
  }

  @Test
  void readsHeadsThatArriveByteByByte() throws IOException {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    ScriptedBackend.Script slowly =
        (backend, connection) -> {
          for (var request = connection.read(); request != null; request = connection.read()) {
            backend.ran(request);
            for (char letter : response.toCharArray()) {
              connection.send(String.valueOf(letter));
            }
          }
        };
    try (ScriptedBackend backend = new ScriptedBackend(slowly);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      for (char letter : (GET + GET).toCharArray()) {
        client.send(String.valueOf(letter));
      }
      assertThat(client.read().body()).isEqualTo("a");
      assertThat(client.read().body()).isEqualTo("a");
      assertThat(backend.runs).hasValue(2);
    }
  }

  @Test
  void respondsToPipelinedRequestsInOrder() throws IOException {
    ScriptedBackend.Script echo =
        (backend, connection) -> {
          for (var request = connection.read(); request != null; request = connection.read()) {
            backend.ran(request);
            String path = request.head().split(" ")[1];
            connection.send(
                "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
          }
        };
    try (ScriptedBackend backend = new ScriptedBackend(echo);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      StringBuilder requests = new StringBuilder();
      for (int index = 0; index < 50; index++) {
        requests.append("POST /").append(index).append(" HTTP/1.1\r\nHost: a\r\n");
        requests.append("Content-Length: 3\r\n\r\nabc");
      }
      client.send(requests.toString());
      for (int index = 0; index < 50; index++) {
        assertThat(client.read().body()).isEqualTo("/" + index);
      }
      assertThat(backend.runs).hasValue(50);
    }
  }

  @Test
  void forwardsExpectAndContinue() throws IOException {
    ScriptedBackend.Script consenting =
        (backend, connection) -> {
          String head = connection.readHead();
          assertThat(head).contains("Expect: 100-continue");
          connection.send("HTTP/1.1 100 Continue\r\n\r\n");
          String body = new String(connection.input().readNBytes(4));
          backend.ran(new RawConnection.Message(head, body));
          connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        };
    try (ScriptedBackend backend = new ScriptedBackend(consenting);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send(
          "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
      assertThat(client.readHead()).startsWith("HTTP/1.1 100");
      client.send("body");
      assertThat(client.read().status()).isEqualTo(200);
      assertThat(backend.requests.remove().body()).isEqualTo("body");
    }
  }

  @Test
  void forwardsAResponseBeforeTheBodyAndClosesTheConnection() throws IOException {
    ScriptedBackend.Script refusing =
        (backend, connection) -> {
          connection.readHead();
          connection.send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
          connection.endsNow();
        };
    try (ScriptedBackend backend = new ScriptedBackend(refusing);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 400\r\n\r\nbeginning");
      assertThat(client.read().status()).isEqualTo(413);
      assertThat(client.endsNow()).isTrue();
    }
  }

  @Test
  void separateHeadDoesNotEndAChunkedRequest() throws Exception {
    CountDownLatch headArrived = new CountDownLatch(1);
    ScriptedBackend.Script script =
        (backend, connection) -> {
          connection.readHead();
          headArrived.countDown();
          connection.send(ok(new String(connection.input().readNBytes(15), US_ASCII)));
        };
    try (ScriptedBackend backend = new ScriptedBackend(script);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      assertThat(headArrived.await(20, TimeUnit.SECONDS)).isTrue();
      client.send("5\r\nhello\r\n0\r\n\r\n");
      assertThat(client.read().body()).isEqualTo("5\r\nhello\r\n0\r\n\r\n");
    }
  }

  @Test
  void separateHeadDoesNotEndAChunkedResponse() throws Exception {
    CountDownLatch headArrived = new CountDownLatch(1);
    ScriptedBackend.Script script =
        (backend, connection) -> {
          connection.readHead();
          connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          awaitUninterrupted(headArrived);
          connection.send("5\r\nhello\r\n0\r\n\r\n");
          connection.endsNow();
        };
    try (ScriptedBackend backend = new ScriptedBackend(script);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      assertThat(client.readHead()).startsWith("HTTP/1.1 200");
      headArrived.countDown();
      assertThat(new String(client.input().readNBytes(15), US_ASCII))
          .isEqualTo("5\r\nhello\r\n0\r\n\r\n");
    }
  }

  private static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      assertThat(latch.await(20, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }
}
