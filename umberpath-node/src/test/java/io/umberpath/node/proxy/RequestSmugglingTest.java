package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that two parsers might interpret differently never reach a backend. */
class RequestSmugglingTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST / HTTP/1.1~Host: a~Content-Length: 4~Transfer-Encoding: chunked~~0~~GET /x",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Content-Length: 4~~0~~",
        "POST / HTTP/1.1~Host: a~Content-Length: 4~Content-Length: 4~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length: 4~Content-Length: 5~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length: 4, 4~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length: +4~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length: -4~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length: 0x4~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length: 4 4~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length:~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length: 99999999999999999999~~abcd",
        "POST / HTTP/1.1~Host: a~Content-Length : 4~~abcd",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding : chunked~~0~~",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: xchunked~~0~~",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~0~~",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked, identity~~0~~",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: \"chunked\"~~0~~",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: chunked~~0~~",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding:~ chunked~~0~~",
        "POST / HTTP/1.1~Host: a~ Transfer-Encoding: chunked~~0~~",
        "POST / HTTP/1.1~ Host: a~Content-Length: 0~~",
        "POST / HTTP/1.1~Host: a~X: b\nTransfer-Encoding: chunked~~0~~",
        "POST / HTTP/1.1~Host: a~X: b\rTransfer-Encoding: chunked~~0~~",
        "POST / HTTP/1.1~Host: a~X: \u0000~Content-Length: 0~~",
        "POST / HTTP/1.1~Host: a~X\u0000Y: 1~Content-Length: 0~~",
        "POST / HTTP/1.1~Host: a~No colon here~Content-Length: 0~~",
        "POST / HTTP/1.1~Host: a~: empty name~Content-Length: 0~~",
        "POST / HTTP/1.1~Host: a~Host: b~Content-Length: 0~~",
        "POST / HTTP/1.1~Content-Length: 0~~",
        "POST / HTTP/1.0~Transfer-Encoding: chunked~~0~~",
        "POST / HTTP/1.1\nHost: a\nContent-Length: 0\n\n",
        "POST  / HTTP/1.1~Host: a~Content-Length: 0~~",
        "POST / x HTTP/1.1~Host: a~Content-Length: 0~~",
        "POST /\tHTTP/1.1~Host: a~Content-Length: 0~~",
        "POST / HTTP/1.2~Host: a~Content-Length: 0~~",
        "POST / HTTP/2.0~Host: a~Content-Length: 0~~",
        "POST / http/1.1~Host: a~Content-Length: 0~~",
        "POST /~Host: a~~",
        "P(ST / HTTP/1.1~Host: a~Content-Length: 0~~",
        "TRACE / HTTP/1.1~Host: a~Content-Length: 4~~abcd",
        "CONNECT a:1 HTTP/1.1~Host: a~~",
        "PRI * HTTP/2.0~~SM~~",
      })
  void refusesAmbiguousHeads(String request) throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send(request.replace("~", "\r\n"));
      RawConnection.Message response = client.read();
      assertThat(response.status()).isEqualTo(400);
      assertThat(response.header("Umberpath-Verdict")).isEqualTo("not-run; reason=bad-request");
      assertThat(client.endsNow()).isTrue();
      assertThat(backend.connections).hasValue(0);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "x~a~0~~",
        "~a~0~~",
        " 1~a~0~~",
        "1 ~a~0~~",
        "+1~a~0~~",
        "0x1~a~0~~",
        "-1~a~0~~",
        "1;ext=1~a~0~~",
        "1\na~0~~",
        "1~ab~0~~",
        "1~a0~~",
        "ffffffffffffffff~a~0~~",
        "10000000000000001~a~0~~",
        "1~a~0~Bad Name: x~~",
        "1~a~0~no colon~~",
        "1~a~0~X: a\nb~~",
      })
  void rejectsAmbiguousBodies(String body) throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      client.send(body.replace("~", "\r\n"));
      RawConnection.Message response = client.read();
      assertThat(response.status()).isEqualTo(400);
      assertThat(response.header("Umberpath-Verdict")).endsWith("run; reason=bad-request");
      assertThat(client.endsNow()).isTrue();
      assertThat(backend.runs).hasValue(0);
    }
  }

  @Test
  void refusesHeadsBeyondTheLimit() throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      String filler = "a".repeat(ProxyFixture.MAX_HEADER_BYTES);
      client.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + filler + "\r\n\r\n");
      RawConnection.Message response = client.read();
      assertThat(response.status()).isEqualTo(413);
      assertThat(response.header("Umberpath-Verdict")).isEqualTo("not-run; reason=too-large");
      assertThat(backend.connections).hasValue(0);
    }
  }

  @Test
  void refusesBodiesBeyondTheLimitBeforeTheyAreSent() throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      long length = ProxyFixture.MAX_BODY_BYTES + 1;
      client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n\r\n");
      RawConnection.Message response = client.read();
      assertThat(response.status()).isEqualTo(413);
      assertThat(response.header("Umberpath-Verdict")).isEqualTo("not-run; reason=too-large");
      assertThat(backend.connections).hasValue(0);
    }
  }

  @Test
  void framesBodiesOfUpgradeRequests() throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send(
          "POST /1 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n"
              + "Content-Length: 4\r\n\r\nabcdPOST /2 HTTP/1.1\r\nHost: a\r\n"
              + "Content-Length: 0\r\n\r\n");
      assertThat(client.read().status()).isEqualTo(200);
      assertThat(client.read().status()).isEqualTo(200);
      assertThat(backend.requests.remove().body()).isEqualTo("abcd");
      assertThat(backend.requests.remove().head()).startsWith("POST /2 ");
    }
  }
}
