package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ObservedBackend.Phase;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a node reports to the fleet about the backend beside it, and how that affects calls. */
class BackendMonitorTest {
  private static final String READY = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nready";

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 200 OK~Content-Length: 5~~ready | READY",
        "HTTP/1.1 200 OK~Content-Length: 8~~draining | DRAINING",
        "HTTP/1.1 503 Unavailable~Content-Length: 20~~{\"phase\":\"draining\"} | DRAINING",
        "HTTP/1.1 200 OK~Umberpath-Draining: true~Content-Length: 2~~ok | DRAINING",
        "HTTP/1.1 200 OK~Content-Length: 7~~warming | WARMING",
      })
  void publishesThePhaseTheBackendReports(String response, Phase phase) throws IOException {
    String raw = response.strip().replace("~", "\r\n");
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(raw));
        ProxyFixture fixture = new ProxyFixture(10, backend.port())) {
      await(() -> backend.runs.get() >= 3);
      await(() -> last(fixture).phase() == phase);
      assertThat(backend.requests.remove().head()).startsWith("GET /health HTTP/1.1\r\n");
    }
  }

  @Test
  void publishesOnlyChangesOfThePhase() throws IOException {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(READY));
        ProxyFixture fixture = new ProxyFixture(5, backend.port())) {
      await(() -> last(fixture).phase() == Phase.READY);
      await(() -> backend.connections.get() >= 6);
      await(() -> backend.runs.get() >= 20);
      assertThat(fixture.control.published).hasSizeLessThan(5);
      backend.stop();
      await(() -> last(fixture).phase() == Phase.DOWN);
      long counter = 0;
      for (ObservedBackend published : fixture.control.published) {
        assertThat(published.counter()).isGreaterThan(counter);
        counter = published.counter();
      }
    }
  }

  @Test
  void refusesAsNotRunWhileTheBackendDrains() throws IOException {
    String draining = "HTTP/1.1 200 OK\r\nUmberpath-Draining: true\r\nContent-Length: 2\r\n\r\nok";
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(draining));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send(post());
      assertThat(client.read().status()).isEqualTo(200);
      client.send(post());
      RawConnection.Message refusal = client.read();
      assertThat(refusal.status()).isEqualTo(503);
      assertThat(refusal.header("Umberpath-Verdict")).startsWith("not-run; reason=");
      assertThat(backend.runs).hasValue(1);
    }
  }

  @Test
  void sendsNothingToASheddingBackendDuringRetryAfter() throws IOException {
    String shedding = "HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n";
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(shedding));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect()) {
      client.send(post());
      RawConnection.Message first = client.read();
      assertThat(first.status()).isEqualTo(503);
      assertThat(first.header("Umberpath-Verdict")).isNull();
      client.send(post());
      RawConnection.Message second = client.read();
      assertThat(second.header("Umberpath-Verdict")).isEqualTo("not-run; reason=overloaded");
      assertThat(Integer.parseInt(second.header("Retry-After"))).isBetween(1, 7);
      assertThat(backend.runs).hasValue(1);
      fixture.advance(7_000);
      client.send(post());
      assertThat(client.read().header("Umberpath-Verdict")).isNull();
      assertThat(backend.runs).hasValue(2);
    }
  }

  /** Whole seconds would leave a backend with few slots idle; clients get only those. */
  @Test
  void sendsRetryAfterToOtherNodesInMilliseconds() throws IOException {
    String shedding = "HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n";
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.respondingWith(shedding));
        ProxyFixture fixture = new ProxyFixture(backend);
        RawConnection client = fixture.connect();
        RawConnection hopConnection = new RawConnection(fixture.hops.get(0).hopPort())) {
      client.send(post());
      client.read();
      fixture.advance(6_500);
      hopConnection.send(post().replace("\r\n\r\n", "\r\nUmberpath-Request-Id: a.1\r\n\r\n"));
      RawConnection.Message refusal = hopConnection.read();
      assertThat(refusal.header("Umberpath-Verdict")).isEqualTo("not-run; reason=overloaded");
      assertThat(Long.parseLong(refusal.header("Umberpath-Retry-After-Ms"))).isBetween(1L, 500L);
      client.send(post());
      assertThat(client.read().header("Umberpath-Retry-After-Ms")).isNull();
    }
  }

  private static String post() {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  }

  private static ObservedBackend last(ProxyFixture fixture) {
    ObservedBackend observed = fixture.control.observed.get("backend-0");
    return observed == null ? new ObservedBackend("", 0, 0, null, 0) : observed;
  }

  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("condition within 30 s").isLessThan(end);
      Thread.onSpinWait();
    }
  }
}
