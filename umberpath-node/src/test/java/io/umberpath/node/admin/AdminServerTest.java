package io.umberpath.node.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.umberpath.node.operator.FakeControlService;
import io.umberpath.node.settings.NodeSettings;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdminServerTest {
  private final FakeControlService control = new FakeControlService();
  private final PrometheusMeterRegistry metrics =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final AtomicReference<Optional<String>> notReadyReason =
      new AtomicReference<>(Optional.empty());
  private AdminServer server;

  @BeforeEach
  void start() throws Exception {
    NodeMetrics.register(metrics, control);
    Readiness readiness = Readiness.of(control).and(notReadyReason::get);
    server = new AdminServer(new NodeSettings.Admin("127.0.0.1", 0), control, metrics, readiness);
    server.start();
  }

  @AfterEach
  void stop() {
    server.close();
    metrics.close();
  }

  private HttpResponse<String> send(String method, String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + server.port() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.noBody()).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  @ParameterizedTest
  @CsvSource({
    "GET, /healthz, 200, alive",
    "GET, /readyz, 200, ready",
    "GET, /metrics, 200, umberpath_control_committed_sequence 0.0",
    "GET, /metrics, 200, umberpath_control_leader 1.0",
    "GET, /metrics, 200, jvm_memory_used_bytes",
    "GET, /, 404, pages:",
    "GET, /secrets, 404, pages:",
    "POST, /healthz, 405, only GET",
    "DELETE, /status, 405, only GET"
  })
  void endpointReturnsStatusAndBody(String method, String path, int status, String text)
      throws Exception {
    HttpResponse<String> response = send(method, path);
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.body()).contains(text);
  }

  @Test
  void nodeWithNotReadyReasonIsNotReady() throws Exception {
    notReadyReason.set(Optional.of("draining"));
    HttpResponse<String> response = send("GET", "/readyz");
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.body()).isEqualTo("draining\n");
    assertThat(send("GET", "/healthz").statusCode()).isEqualTo(200);
  }

  @Test
  void statusIsJson() throws Exception {
    JsonNode status = new ObjectMapper().readTree(send("GET", "/status").body());
    assertThat(status.get("role").asText()).isEqualTo("LEADER");
    assertThat(status.get("documentRevision").asLong()).isEqualTo(5);
  }
}
