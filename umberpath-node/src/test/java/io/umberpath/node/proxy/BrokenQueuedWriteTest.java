package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.proxy.RawConnection.Message;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A connection breaks while bytes wait in its write queue, and the write of these bytes is what
 * finds out.
 *
 * <p>What happened: a caller whose upload failed read bytes that are no answer in the protocol. An
 * upload's pieces waited in the write queue of the origin's connection; the origin had lost its
 * power. Its connection was reset just before the queue was written on, so that this write failed,
 * and not a read. The transport fills one direct buffer per thread with the bytes of a queue,
 * writes it, and empties it when that write returns; but it reports a failed write as the end of
 * the connection before it returns. The refusal was written to the caller there and then, through
 * the same direct buffer behind the upload's bytes: the caller read its own upload and then the
 * refusal. Had the request been sent again, or another one been let in, the next origin would have
 * read them.
 *
 * <p>The lines that settled it: "attempt failed", then "GRIZZLY0013: Exception during FilterChain
 * execution, IllegalArgumentException: Position exceeds a limit: 608&gt;225 at
 * BuffersBuffer.setPosLim", then "request failed". The order says that the exception was thrown
 * within the write of the refusal; 225 bytes is the refusal, and 608 were written. The stack goes
 * from TCPNIOAsyncQueueWriter.writeCompositeRecord by terminate0 and the close of the origin's
 * connection to AnswerWriter.refusal and into the transport's write again.
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

  /** The connection carries on, and nothing but the answer has been written to it. */
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

  /** Its short rest is read and dropped; then the connection carries on. */
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

  /** Its rest is read and dropped, across the borders of chunks; then the connection ends. */
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

  /** The request goes to another origin over a connection that rests. */
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

  /** A caller breaks while its answer waits in the queue; its end lets another request in. */
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
