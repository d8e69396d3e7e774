package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The program fails while it handles one request, and the requests of its connection are lost. */
@Timeout(60)
class FaultyHandlerTest {
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

  private static void assertAnswered(RawConnection caller, String verdict) throws IOException {
    Message answer = caller.read();
    assertThat(answer).as("the connection was closed").isNotNull();
    assertThat(answer.status()).isEqualTo(500);
    assertThat(answer.body()).isEqualTo(verdict + "; reason=internal\n");
    caller.send("GET /refused HTTP/1.1\r\nHost: a\r\n\r\n");
    assertThat(caller.read().status()).isEqualTo(404);
  }

  @Test
  void aRequestThatWasNotSentOnIsRefused() throws Exception {
    try (RawConnection caller = fixture.connect()) {
      caller.send("POST /fault HTTP/1.1\r\n" + UPLOAD_HEAD + "helloabc");

      assertAnswered(caller, "not-run");
    }
  }

  @Test
  void aRequestThatWasSentOnIsAnswered() throws Exception {
    try (RawConnection caller = fixture.connect();
        RawConnection origin = fixture.restingOrigin(1, caller)) {
      caller.send("POST /fault-after-sending HTTP/1.1\r\n" + UPLOAD_HEAD + "helloabc");

      assertThat(origin.read().body()).isEqualTo("helloabc");
      assertAnswered(caller, "may-have-run");
    }
  }
}
