package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bytes read while the filter chain of a connection is suspended are passed on in order. */
@Timeout(60)
class ReadAheadTest extends InboundFixtureTest {
  private static final int MAX_PIPELINED = 16;
  private static final int MAX_PART_BYTES = 500;
  private static final int BODY_BYTES = 4 * 1024 * 1024;
  private static final long SEED = 20;

  private final ExecutorService originExecutor = Executors.newCachedThreadPool();

  @AfterEach
  void stopOrigins() {
    originExecutor.shutdownNow();
  }

  /** More requests than run concurrently, split into parts of random length. */
  @Test
  void requestsReadAheadAreAnsweredInOrder() throws Exception {
    try (RawConnection client = fixture.connect()) {
      sendInParts(client, 10 * MAX_PIPELINED);
      serveAll();

      assertAnswered(client, 10 * MAX_PIPELINED);
    }
  }

  /** A shutdown must not lose requests that have been read but not decoded. */
  @Test
  void requestsReadAheadAreAnsweredBeforeTheProcessEnds() throws Exception {
    try (RawConnection client = fixture.connect()) {
      sendInParts(client, 3 * MAX_PIPELINED);
      RawConnection first = fixture.acceptOrigin();
      final CompletableFuture<Void> drained = CompletableFuture.runAsync(this::drain);
      originExecutor.execute(() -> serve(first));
      serveAll();

      assertAnswered(client, 3 * MAX_PIPELINED);
      client.socket.close();
      drained.join();
    }
  }

  /** Larger than all socket buffers on the path while the origin reads nothing. */
  @Test
  void bodyReadAheadReachesItsOriginUnchanged() throws Exception {
    byte[] body = new byte[BODY_BYTES];
    new Random(SEED).nextBytes(body);
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      final CompletableFuture<Void> sent =
          CompletableFuture.runAsync(() -> sendUpload(client, body));
      assertThat(origin.readHead()).startsWith("POST /upload ");
      assertThat(origin.input().readNBytes(BODY_BYTES)).isEqualTo(body);
      origin.send("HTTP/1.1 204 No Content\r\n\r\n");

      assertThat(client.read().status()).isEqualTo(204);
      sent.join();
    }
  }

  /** The client's close is behind bytes that no filter has taken. */
  @Test
  void clientCloseIsNoticedBehindBytesReadAhead() throws Exception {
    try (RawConnection origin = fixture.idleOriginConnection();
        RawConnection client = fixture.connect()) {
      client.send(InboundFixture.get("/abandoned").repeat(MAX_PIPELINED + 1));
      assertThat(origin.readHead()).startsWith("GET /abandoned ");
      client.send(InboundFixture.get("/behind").repeat(2 * MAX_PIPELINED));
      client.socket.close();

      assertThat(origin.endsNow()).isTrue();
    }
  }

  private static void sendInParts(RawConnection client, int count) throws IOException {
    StringBuilder requests = new StringBuilder();
    for (int number = 0; number < count; number++) {
      requests.append(InboundFixture.get("/" + number));
    }
    Random random = new Random(SEED);
    int start = 0;
    while (start < requests.length()) {
      int end = Math.min(requests.length(), start + 1 + random.nextInt(MAX_PART_BYTES));
      client.send(requests.substring(start, end));
      start = end;
    }
  }

  private static void sendUpload(RawConnection client, byte[] body) {
    try {
      client.send(
          "POST /upload HTTP/1.1\r\nHost: a\r\nContent-Length: " + body.length + "\r\n\r\n");
      client.send(body);
    } catch (IOException lost) {
      throw new UncheckedIOException(lost);
    }
  }

  private static void assertAnswered(RawConnection client, int count) throws IOException {
    for (int number = 0; number < count; number++) {
      assertThat(client.read().body()).isEqualTo("/" + number);
    }
  }

  /** Accepts all connections to the origin, and responds to each request with its path. */
  private void serveAll() {
    originExecutor.execute(
        () -> {
          try {
            while (true) {
              RawConnection accepted = fixture.acceptOrigin();
              originExecutor.execute(() -> serve(accepted));
            }
          } catch (IOException fixtureClosed) {
            return;
          }
        });
  }

  private static void serve(RawConnection origin) {
    try (origin) {
      for (String head = origin.readHead(); head != null; head = origin.readHead()) {
        String path = head.split(" ")[1];
        origin.send("HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
      }
    } catch (IOException ended) {
      return;
    }
  }

  private void drain() {
    try {
      fixture.drain(Long.MAX_VALUE);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }
}
