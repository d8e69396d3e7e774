package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** More concurrent clients than slots. */
class OverloadTest {
  private static final int CLIENTS = 100;
  private static final int CALLS_EACH = 100;

  @Test
  void answersEachCallOnceAndNeverRunsCallsReportedAsNotRun() throws Exception {
    AtomicInteger concurrent = new AtomicInteger();
    AtomicInteger maxConcurrent = new AtomicInteger();
    ScriptedBackend.Script counting =
        (backend, connection) -> {
          for (var request = connection.read(); request != null; request = connection.read()) {
            maxConcurrent.accumulateAndGet(concurrent.incrementAndGet(), Math::max);
            backend.ran(request);
            String body = request.body();
            concurrent.decrementAndGet();
            connection.send(
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
          }
        };
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    try (ScriptedBackend backend = new ScriptedBackend(counting);
        ProxyFixture fixture = new ProxyFixture(backend)) {
      List<CompletableFuture<Void>> clients = new ArrayList<>();
      for (int client = 0; client < CLIENTS; client++) {
        int number = client;
        clients.add(
            CompletableFuture.runAsync(
                () -> call(fixture, number, answered, refused),
                task -> new Thread(task, "client").start()));
      }
      for (CompletableFuture<Void> client : clients) {
        client.get(60, TimeUnit.SECONDS);
      }
      assertThat(answered.get() + refused.get()).isEqualTo(CLIENTS * CALLS_EACH);
      assertThat(backend.runs).hasValue(answered.get());
      assertThat(answered.get()).isPositive();
      assertThat(maxConcurrent.get()).isLessThanOrEqualTo(6);
      assertThat(backend.connections.get()).isLessThanOrEqualTo(130);
    }
  }

  private static void call(
      ProxyFixture fixture, int number, AtomicInteger answered, AtomicInteger refused) {
    try (RawConnection connection = fixture.connect()) {
      for (int call = 0; call < CALLS_EACH; call++) {
        String body = number + "/" + call;
        connection.send(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        RawConnection.Message response = connection.read();
        if (response.status() == 200) {
          assertThat(response.body()).isEqualTo(body);
          answered.incrementAndGet();
        } else {
          assertThat(response.header("Umberpath-Verdict")).isEqualTo("not-run; reason=overloaded");
          assertThat(response.header("Retry-After")).isNotNull();
          refused.incrementAndGet();
        }
      }
    } catch (IOException error) {
      throw new AssertionError(error);
    }
  }
}
