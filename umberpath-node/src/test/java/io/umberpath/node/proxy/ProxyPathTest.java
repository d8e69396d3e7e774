package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Requests through an edge proxy and the proxy beside the backend, over real sockets. */
class ProxyPathTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Kept: a\r\n\r\nhello";

  @Test
  void forwardsRequestsAndResponsesOnPersistentConnections() throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      for (int round = 0; round < 3; round++) {
        client.send(
            "POST /fees?a=b%20c HTTP/1.1\r\nHost: Mesh:80\r\nContent-Length: 3\r\n"
                + "Connection: X-Named\r\nX-Named: 1\r\nAuthorization: mine\r\n"
                + "Umberpath-Tier: PREMIUM\r\n\r\nabc");
        RawConnection.Message response = client.read();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("hello");
        assertThat(response.header("X-Kept")).isEqualTo("a");
        assertThat(response.head()).doesNotContain("Umberpath");
      }
      assertThat(backend.runs).hasValue(3);
      RawConnection.Message request = backend.requests.peek();
      assertThat(request.head()).startsWith("POST /fees?a=b%20c HTTP/1.1\r\n");
      assertThat(request.body()).isEqualTo("abc");
      assertThat(request.header("Host")).isEqualTo("Mesh:80");
      assertThat(request.header("Authorization")).isEqualTo("Bearer s3cret");
      assertThat(request.header("X-Named")).isNull();
      assertThat(request.header("Umberpath-Tier")).isNull();
      assertThat(request.header("Umberpath-Deadline-Ms")).isNotNull();
    }
  }

  @Test
  void refusesAsNotRunWhenNothingListens() throws IOException {
    ScriptedBackend gone = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
    gone.close();
    try (ProxyFixture fixture = new ProxyFixture(gone);
        RawConnection client = fixture.connect()) {
      client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
      RawConnection.Message response = client.read();
      assertThat(response.status()).isEqualTo(503);
      assertThat(response.header("Umberpath-Verdict")).isEqualTo("not-run; reason=unreachable");
      assertThat(response.header("Retry-After")).isEqualTo("1");
    }
  }
}
