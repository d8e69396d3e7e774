package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** No response status closes the connection while pipelined requests are unanswered. */
@Timeout(60)
class PipelinedStatusTest {
  private QueuedWriteFixture fixture;

  @BeforeEach
  void start() throws IOException {
    fixture = new QueuedWriteFixture();
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  @ParameterizedTest
  @CsvSource({
    "400, length", "408, length", "411, length", "413, length", "414, length", "431, length",
    "500, length", "501, length", "503, length", "505, length", "400, chunked", "408, chunked",
    "411, chunked", "413, chunked", "414, chunked", "431, chunked", "500, chunked", "501, chunked",
    "503, chunked", "505, chunked", "400, close", "500, close", "503, close", "200, close"
  })
  void requestBehindAResponseOfAnyStatusIsAnswered(int status, String framing) throws Exception {
    try (RawConnection client = fixture.connect();
        RawConnection origin = fixture.idleOriginConnection(1, client)) {
      client.send("GET /rest HTTP/1.1\r\nHost: a\r\n\r\nGET /refused HTTP/1.1\r\nHost: a\r\n\r\n");
      origin.readHead();
      origin.send("HTTP/1.1 " + status + " X\r\n" + body(framing));
      if (framing.equals("close")) {
        origin.socket.shutdownOutput();
      }
      Message first = client.read();
      assertThat(first.status()).isEqualTo(status);
      assertThat(first.body()).isEqualTo("body");
      Message second = client.read();
      assertThat(second).as("response to the second request").isNotNull();
      assertThat(second.status()).isEqualTo(404);
    }
  }

  private static String body(String framing) {
    return switch (framing) {
      case "length" -> "Content-Length: 4\r\n\r\nbody";
      case "chunked" -> "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
      default -> "Connection: close\r\n\r\nbody";
    };
  }

  @ParameterizedTest
  @CsvSource({"/bad-request", "/too-large", "/deadline", "/overloaded", "/lost"})
  void requestBehindARefusalIsAnswered(String path) throws Exception {
    try (RawConnection client = fixture.connect()) {
      client.send(
          "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\nGET /refused HTTP/1.1\r\nHost: a\r\n\r\n");
      client.read();
      Message second = client.read();
      assertThat(second).as("response to the second request").isNotNull();
      assertThat(second.status()).isEqualTo(404);
    }
  }
}
