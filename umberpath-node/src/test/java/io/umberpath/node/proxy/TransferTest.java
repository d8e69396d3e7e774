package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.ProxySnapshot;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

/** Large bodies, graceful shutdowns and configuration changes during transfers. */
class TransferTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final int LARGE_BYTES = 100_000_000;
  private static final int SMALL_HEAP_MEGABYTES = 40;
  private static final int BLOCK_BYTES = 64 * 1024;

  @Test
  void streamsLargeBodiesThroughASmallHeap() throws Exception {
    CountDownLatch mayRead = new CountDownLatch(1);
    ScriptedBackend.Script script =
        (backend, connection) -> {
          String head = connection.readHead();
          await(mayRead);
          long checksum = checksum(connection, LARGE_BYTES);
          backend.ran(new RawConnection.Message(head, Long.toString(checksum)));
          connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n");
          sendLarge(connection, LARGE_BYTES);
          connection.endsNow();
        };
    try (ScriptedBackend backend = new ScriptedBackend(script)) {
      Process node = startNode(backend.port(), SMALL_HEAP_MEGABYTES);
      try (RawConnection client = new RawConnection(portOf(node))) {
        CompletableFuture<Void> upload =
            CompletableFuture.runAsync(() -> upload(client, LARGE_BYTES));
        // A proxy without back pressure would fill its heap in this time.
        TimeUnit.MILLISECONDS.sleep(300);
        assertThat(upload).isNotDone();
        mayRead.countDown();
        assertThat(client.readHead()).startsWith("HTTP/1.1 200");
        long responseChecksum = checksum(client, LARGE_BYTES);
        upload.get(30, TimeUnit.SECONDS);
        assertThat(responseChecksum).isEqualTo(checksumOfLarge(LARGE_BYTES));
        assertThat(backend.requests.remove().body()).isEqualTo(Long.toString(responseChecksum));
      } finally {
        node.destroyForcibly();
      }
    }
  }

  /** Starts a process with an edge proxy and a hop proxy. */
  static Process startNode(int backendPort, int heapMegabytes) throws IOException {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx" + heapMegabytes + "m",
            "-XX:MaxDirectMemorySize=" + heapMegabytes + "m",
            "-XX:+ExitOnOutOfMemoryError",
            "-cp",
            System.getProperty("java.class.path"),
            NodeProcessMain.class.getName(),
            Integer.toString(backendPort))
        .redirectError(ProcessBuilder.Redirect.INHERIT)
        .start();
  }

  /** The port of its edge proxy. */
  static int portOf(Process node) throws IOException {
    BufferedReader output =
        new BufferedReader(new InputStreamReader(node.getInputStream(), StandardCharsets.US_ASCII));
    return Integer.parseInt(output.readLine());
  }

  @Test
  void completesAnUploadWhileDrainingAndRefusesNewRequests() throws Exception {
    int size = 4 * BLOCK_BYTES;
    CountDownLatch begun = new CountDownLatch(1);
    ScriptedBackend.Script script =
        (backend, connection) -> {
          connection.readHead();
          begun.countDown();
          checksum(connection, size);
          backend.runs.incrementAndGet();
          connection.send(OK);
          connection.endsNow();
        };
    try (ScriptedBackend backend = new ScriptedBackend(script);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection uploader = fixture.connect();
        RawConnection idle = fixture.connect()) {
      uploader.send(uploadHead(size));
      uploader.send(new byte[BLOCK_BYTES]);
      await(begun);
      CompletableFuture<Boolean> edgeStop = drain(fixture.edge);
      CompletableFuture<Boolean> hopStop = drain(fixture.hops.get(0));
      RawConnection.Message refusal = refusalOf(idle);
      assertThat(refusal.header("Umberpath-Verdict")).isEqualTo("not-run; reason=draining");
      assertThat(refusal.header("Connection")).isEqualTo("close");
      assertThat(refusal.header("Retry-After")).isNotNull();
      assertThat(edgeStop).isNotDone();
      assertThat(hopStop).isNotDone();
      uploader.send(new byte[size - BLOCK_BYTES]);
      assertThat(uploader.read().body()).isEqualTo("ok");
      assertThat(edgeStop.get(30, TimeUnit.SECONDS)).isTrue();
      assertThat(hopStop.get(30, TimeUnit.SECONDS)).isTrue();
      assertThat(backend.runs).hasValue(1);
    }
  }

  /** Sends requests until the drain, which another thread starts, has begun. */
  private static RawConnection.Message refusalOf(RawConnection idle) throws IOException {
    while (true) {
      idle.send("GET /%2 HTTP/1.1\r\nHost: a\r\nUmberpath-Deadline-Ms: 0\r\n\r\n");
      RawConnection.Message response = idle.read();
      if (!response.header("Umberpath-Verdict").endsWith("deadline")) {
        return response;
      }
    }
  }

  private static CompletableFuture<Boolean> drain(ProxyServer proxy) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return proxy.drain(Duration.ofSeconds(30));
          } catch (InterruptedException interrupted) {
            throw new AssertionError(interrupted);
          }
        });
  }

  @Test
  void abortsRequestsAtTheDrainTimeout() throws Exception {
    ScriptedBackend.Script silent =
        (backend, connection) -> {
          backend.ran(connection.read());
          connection.endsNow();
        };
    try (ScriptedBackend backend = new ScriptedBackend(silent);
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
      BackendMonitorTest.await(() -> backend.runs.get() == 1);
      assertThat(fixture.edge.drain(Duration.ofMillis(100))).isFalse();
      RawConnection.Message response = client.read();
      assertThat(response.header("Umberpath-Verdict")).isEqualTo("may-have-run; reason=draining");
      assertThat(backend.runs).hasValue(1);
    }
  }

  @Test
  void failsNoCallDuringThousandsOfConfigurationChanges() throws Exception {
    int changes = 5_000;
    AtomicBoolean over = new AtomicBoolean();
    AtomicInteger calls = new AtomicInteger();
    try (ScriptedBackend one = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ScriptedBackend other = new ScriptedBackend(ScriptedBackend.respondingWith(OK));
        ProxyFixture fixture = new ProxyFixture(one, other)) {
      List<CompletableFuture<Void>> clients =
          List.of(
              CompletableFuture.runAsync(() -> callUntil(over, fixture, calls)),
              CompletableFuture.runAsync(() -> callUntil(over, fixture, calls)),
              CompletableFuture.runAsync(() -> callUntil(over, fixture, calls)));
      var both = fixture.control.snapshot.pools().get("pool").backends();
      for (int round = 1; round <= changes; round++) {
        var subset =
            both.subList(round % 3 == 0 ? 0 : round % 3 - 1, round % 3 == 0 ? 2 : round % 3);
        fixture.control.snapshot =
            ProxyFixture.snapshot(
                round,
                ProxyFixture.TIMEOUT_MILLIS,
                subset.stream().map(ProxySnapshot.BackendView::address).toList());
        int seen = calls.get();
        if (round % 10 == 0) {
          BackendMonitorTest.await(() -> calls.get() > seen);
        }
      }
      over.set(true);
      for (CompletableFuture<Void> client : clients) {
        client.get(30, TimeUnit.SECONDS);
      }
      assertThat(one.runs.get() + other.runs.get()).isEqualTo(calls.get());
      assertThat(one.runs.get()).isPositive();
      assertThat(other.runs.get()).isPositive();
    }
  }

  private static void callUntil(AtomicBoolean over, ProxyFixture fixture, AtomicInteger calls) {
    try (RawConnection client = fixture.connect()) {
      while (!over.get()) {
        client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
        RawConnection.Message response = client.read();
        assertThat(response.head()).startsWith("HTTP/1.1 200");
        calls.incrementAndGet();
      }
    } catch (IOException error) {
      throw new AssertionError(error);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(30, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }

  private static String uploadHead(int size) {
    return "POST /photos HTTP/1.1\r\nHost: a\r\nContent-Length: " + size + "\r\n\r\n";
  }

  private static void upload(RawConnection client, int size) {
    try {
      client.send(uploadHead(size));
      sendLarge(client, size);
    } catch (IOException error) {
      throw new AssertionError(error);
    }
  }

  private static void sendLarge(RawConnection connection, int size) throws IOException {
    for (int sent = 0; sent < size; sent += BLOCK_BYTES) {
      connection.send(block(sent, Math.min(BLOCK_BYTES, size - sent)));
    }
  }

  private static byte[] block(int offset, int length) {
    byte[] block = new byte[length];
    for (int index = 0; index < length; index++) {
      block[index] = (byte) ((offset + index) * 31 >> 7);
    }
    return block;
  }

  private static long checksumOfLarge(int size) {
    CRC32 checksum = new CRC32();
    for (int offset = 0; offset < size; offset += BLOCK_BYTES) {
      checksum.update(block(offset, Math.min(BLOCK_BYTES, size - offset)));
    }
    return checksum.getValue();
  }

  private static long checksum(RawConnection connection, int size) throws IOException {
    CRC32 checksum = new CRC32();
    for (int left = size; left > 0; ) {
      byte[] bytes = connection.input().readNBytes(Math.min(BLOCK_BYTES, left));
      assertThat(bytes).isNotEmpty();
      checksum.update(bytes);
      left -= bytes.length;
    }
    return checksum.getValue();
  }
}
