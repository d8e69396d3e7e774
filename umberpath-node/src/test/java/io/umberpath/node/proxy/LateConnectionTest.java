package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import io.umberpath.node.proxy.http.ProxyHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections to an origin that open after their requests can no longer be served. */
@Timeout(60)
class LateConnectionTest {

  /** The deadline is checked when the request is written, not only by a timer. */
  @Test
  void requestIsNotSentIfItsConnectionOpensAfterTheDeadline() throws Exception {
    try (QueuedWriteFixture fixture = new QueuedWriteFixture();
        RawConnection client = fixture.connect();
        RawConnection next = fixture.connect()) {
      fixture.holdConnectAttempts(0);
      client.send("GET /short HTTP/1.1\r\nHost: a\r\n\r\n");
      fixture.awaitHeldConnectAttempt();
      fixture.advance(QueuedWriteFixture.SHORT_DEADLINE_MILLIS);
      fixture.releaseConnectAttempt();
      try (RawConnection origin = fixture.acceptOrigin(0)) {
        fixture.awaitAllRead();
        next.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
        assertThat(origin.readHead()).startsWith("GET /next ");
      }
      Message response = client.read();
      assertThat(response.status()).isEqualTo(504);
      assertThat(response.header(ProxyHeaders.VERDICT)).isEqualTo("not-run; reason=deadline");
    }
  }

  /** The connection opens in the iteration in which the client's close is read. */
  @Test
  void requestIsNotSentIfItsConnectionOpensWithTheClientsCloseUnread() throws Exception {
    try (QueuedWriteFixture fixture = new QueuedWriteFixture();
        RawConnection client = fixture.connect();
        RawConnection next = fixture.connect()) {
      fixture.holdConnectAttempts(0);
      client.send("GET /left HTTP/1.1\r\nHost: a\r\n\r\n");
      fixture.awaitHeldConnectAttempt();
      fixture.blockSelector();
      client.socket.close();
      fixture.releaseConnectAttempt();
      try (RawConnection origin = fixture.acceptOrigin(0)) {
        fixture.unblockSelectorLate();
        fixture.awaitAllRead();
        next.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
        assertThat(origin.readHead()).startsWith("GET /next ");
      }
    }
  }
}
