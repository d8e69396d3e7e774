package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An error in the handling of one request must not lose the other requests of its connection. */
@Timeout(60)
class FailingHandlerTest {
  private static final String UPLOAD_HEAD = "Host: a\r\nContent-Length: 8\r\n\r\n";

  private QueuedWriteFixture fixture;

  @BeforeEach
  void start() throws IOException {
    fixture = new QueuedWriteFixture();
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  private static void assertAnswered(RawConnection client, String verdict) throws IOException {
    Message response = client.read();
    assertThat(response).as("the connection was closed").isNotNull();
    assertThat(response.status()).isEqualTo(500);
    assertThat(response.body()).isEqualTo(verdict + "; reason=internal\n");
    client.send("GET /refused HTTP/1.1\r\nHost: a\r\n\r\n");
    assertThat(client.read().status()).isEqualTo(404);
  }

  @Test
  void requestThatWasNotSentIsRefusedAsNotRun() throws Exception {
    try (RawConnection client = fixture.connect()) {
      client.send("POST /fault HTTP/1.1\r\n" + UPLOAD_HEAD + "helloabc");

      assertAnswered(client, "not-run");
    }
  }

  @Test
  void requestThatWasSentIsRefusedAsMayHaveRun() throws Exception {
    try (RawConnection client = fixture.connect();
        RawConnection origin = fixture.idleOriginConnection(1, client)) {
      client.send("POST /fault-after-sending HTTP/1.1\r\n" + UPLOAD_HEAD + "helloabc");

      assertThat(origin.read().body()).isEqualTo("helloabc");
      assertAnswered(client, "may-have-run");
    }
  }
}
