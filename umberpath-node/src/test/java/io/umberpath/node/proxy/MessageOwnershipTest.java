package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A request that is sent late is unchanged, whatever was read on the same thread in between. */
@Timeout(60)
class MessageOwnershipTest {
  private static final String LATE =
      "GET /late?query=1 HTTP/1.1\r\nHost: a\r\nX-First: one\r\nX-Second: two\r\n\r\n";
  private static final String DONE = "HTTP/1.1 204 No Content\r\n\r\n";
  private static final String UPLOAD_BODY = "b".repeat(60_000);

  private QueuedWriteFixture fixture;

  @BeforeEach
  void start() throws IOException {
    fixture = new QueuedWriteFixture();
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  /** Sends enough input through the selector thread that released memory is reused. */
  private void sendUpload(RawConnection origin) throws Exception {
    try (RawConnection other = fixture.connect()) {
      other.send(
          "PUT /rest HTTP/1.1\r\nHost: a\r\nContent-Length: " + UPLOAD_BODY.length() + "\r\n\r\n");
      for (int sent = 0; sent < UPLOAD_BODY.length(); sent += 1_000) {
        other.send(UPLOAD_BODY.substring(sent, sent + 1_000));
      }
      assertThat(origin.read().body()).isEqualTo(UPLOAD_BODY);
      origin.send(DONE);
      other.readHead();
    }
  }

  private void assertSentUnchanged(RawConnection idleOrigin) throws Exception {
    fixture.awaitHeldConnectAttempt();
    sendUpload(idleOrigin);
    fixture.releaseConnectAttempt();
    try (RawConnection origin = fixture.acceptOrigin(0)) {
      assertThat(origin.read().head()).isEqualTo(LATE);
    }
  }

  @Test
  void requestWhoseConnectionOpensLateKeepsItsHead() throws Exception {
    fixture.holdConnectAttempts(0);
    try (RawConnection client = fixture.connect();
        RawConnection idle = fixture.idleOriginConnection(1, client)) {
      client.send(LATE);
      assertSentUnchanged(idle);
    }
  }

  /** The upload's last bytes and the request's head are read together. */
  @Test
  void requestReadTogetherWithTheEndOfAnUploadKeepsItsHead() throws Exception {
    fixture.holdConnectAttempts(0);
    try (RawConnection client = fixture.connect();
        RawConnection idle = fixture.idleOriginConnection(1, client)) {
      client.send("PUT /rest HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n");
      idle.readHead();
      client.send("b".repeat(2_000) + LATE);
      assertThat(idle.input().readNBytes(2_000)).containsOnly('b');
      idle.send(DONE);
      client.readHead();
      assertSentUnchanged(idle);
    }
  }
}
