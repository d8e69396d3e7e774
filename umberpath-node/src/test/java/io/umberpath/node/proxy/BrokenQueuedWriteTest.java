package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A connection breaks while bytes wait in its write queue, and writing these bytes finds out.
 *
 * <p>The transport gathers a write queue in one direct buffer per thread, writes it, and clears it
 * when that write returns; but it reports a failed write as the close of the connection before the
 * write returns. If the refusal is then written to the client within this call, it goes through the
 * same direct buffer behind the bytes of the upload: a client whose upload failed read its own
 * upload and then the refusal. A retried request, or another one admitted at that moment, would
 * reach the next origin the same way. It happened when an origin lost power and its connection was
 * reset just before its queue, with parts of an upload, was written, so that this write failed and
 * not a read.
 *
 * <p>In the log: "attempt failed", then "GRIZZLY0013: Exception during FilterChain execution,
 * IllegalArgumentException: Position exceeds a limit: 608&gt;225 at BuffersBuffer.setPosLim", then
 * "request failed". The exception was thrown within the write of the refusal: the refusal has 225
 * bytes and 608 were written. The stack goes from TCPNIOAsyncQueueWriter.writeCompositeRecord by
 * terminate0 and the close of the origin's connection to ResponseWriter.writeRefusal and into the
 * transport's write again.
 */
@Timeout(60)
class BrokenQueuedWriteTest {
  private static final int BODY_BYTES = 20_000;
  private static final String BODY = "x".repeat(BODY_BYTES);
  private static final String END = "y".repeat(300);
  private static final String LENGTH = "Content-Length: " + (BODY_BYTES + END.length());

  private QueuedWriteFixture fixture;

  @BeforeEach
  void start() throws IOException {
    fixture = new QueuedWriteFixture();
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  private static String upload(String path) {
    return "PUT " + path + " HTTP/1.1\r\nHost: a\r\n" + LENGTH + "\r\n\r\n";
  }

  private static String chunkedUpload(String path) {
    return "PUT " + path + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  private static String chunk(int bytes) {
    return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
  }

  private static void assertRefused(RawConnection client) throws IOException {
    String head = client.readHead();
    assertThat(head).startsWith("HTTP/1.1 502 Bad Gateway\r\n").contains("connection-lost");
    int length = Integer.parseInt(new Message(head, "").header("Content-Length"));
    byte[] body = client.input().readNBytes(length);
    assertThat(new String(body)).isEqualTo("may-have-run; reason=connection-lost\n");
  }

  /** The connection is still usable, and nothing but the response has been written to it. */
  private static void assertConnectionReusable(RawConnection client) throws IOException {
    client.send("GET /refused HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assertThat(client.readHead()).startsWith("HTTP/1.1 404 Not Found\r\n");
    assertThat(new String(client.input().readAllBytes())).isEqualTo("not-run; reason=no-route\n");
  }

  @Test
  void clientReadsOnlyTheRefusal() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.sendParts(client, 0, upload("/upload") + BODY, END);

      fixture.breakOrigin(0);

      assertRefused(client);
      assertConnectionReusable(client);
    }
  }

  @Test
  void clientOfAChunkedUploadReadsOnlyTheRefusal() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.sendParts(client, 0, chunkedUpload("/upload") + chunk(BODY_BYTES), "0\r\n\r\n");

      fixture.breakOrigin(0);

      assertRefused(client);
      assertConnectionReusable(client);
    }
  }

  /** The short rest of the upload is read and discarded; then the connection is reused. */
  @Test
  void clientOfAnUnfinishedUploadReadsOnlyTheRefusal() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.sendParts(client, 0, upload("/upload") + BODY, END.substring(1));

      fixture.breakOrigin(0);

      assertRefused(client);
      client.send("x");
      assertConnectionReusable(client);
    }
  }

  /**
   * The rest of the upload is read and discarded across chunk boundaries; then the connection
   * closes.
   */
  @Test
  void clientOfAnUnfinishedChunkedUploadReadsOnlyTheRefusal() throws Exception {
    try (RawConnection client = fixture.connect()) {
      fixture.sendParts(client, 0, chunkedUpload("/upload") + chunk(BODY_BYTES), "5\r\nxx");

      fixture.breakOrigin(0);

      assertRefused(client);
      client.send("xxx\r\n" + chunk(BODY_BYTES) + "0\r\nTrailer: x\r\n\r\n");
      assertThat(client.endsNow()).isTrue();
    }
  }

  /** The request is retried at another origin over an idle connection. */
  @Test
  void retriedOriginReadsOnlyTheRequest() throws Exception {
    try (RawConnection client = fixture.connect()) {
      RawConnection next = fixture.idleOriginConnection(1, client);
      fixture.permitRetry();
      fixture.sendParts(client, 0, upload("/upload") + BODY, END);

      fixture.breakOrigin(0);

      Message request = next.read();
      assertThat(request.head()).startsWith("PUT /upload HTTP/1.1\r\n");
      assertThat(request.body()).isEqualTo(BODY + END);
      next.send("HTTP/1.1 204 No Content\r\n\r\n");
      assertThat(client.read().status()).isEqualTo(204);
      assertConnectionReusable(client);
    }
  }

  /**
   * A client breaks while its response waits in the queue; the end of that exchange admits another
   * request.
   */
  @Test
  void originOfTheRequestAdmittedAfterABrokenClientReadsOnlyIt() throws Exception {
    try (RawConnection gone = fixture.connectNarrow();
        RawConnection client = fixture.connect()) {
      RawConnection next = fixture.idleOriginConnection(1, client);
      gone.send("GET /answered HTTP/1.1\r\nHost: a\r\n\r\n");
      RawConnection origin = fixture.acceptOrigin(0);
      origin.readHead();
      client.send("PUT /after HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
      fixture.awaitHeldExchange();
      String head = "HTTP/1.1 200 OK\r\n" + LENGTH + "\r\n\r\n";
      fixture.respondInParts(origin, head + BODY, END.substring(1));

      fixture.breakClient(gone);

      Message request = next.read();
      assertThat(request.head()).startsWith("PUT /after HTTP/1.1\r\n");
      assertThat(request.body()).isEqualTo("hello");
      next.send("HTTP/1.1 204 No Content\r\n\r\n");
      assertThat(client.read().status()).isEqualTo(204);
      assertConnectionReusable(client);
    }
  }
}
