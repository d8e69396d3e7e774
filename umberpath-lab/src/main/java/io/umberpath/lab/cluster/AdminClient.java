package io.umberpath.lab.cluster;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/** Reads the admin pages of nodes. Thread-safe. */
public final class AdminClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;

  private final ObjectMapper json = new ObjectMapper();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  /** The node's status; empty if it does not answer. */
  public Optional<NodeReport> status(NodeSpec node) throws InterruptedException {
    try {
      Optional<String> page = page(node, "/status");
      return page.isEmpty()
          ? Optional.empty()
          : Optional.of(json.readValue(page.get(), NodeReport.class));
    } catch (IOException unreachable) {
      return Optional.empty();
    }
  }

  /** Whether the node says it is ready. */
  public boolean isReady(NodeSpec node) throws InterruptedException {
    try {
      return page(node, "/readyz").isPresent();
    } catch (IOException unreachable) {
      return false;
    }
  }

  /** Sum of the samples of a Prometheus metric whose name and labels begin with the prefix. */
  public double metric(NodeSpec node, String prefix) throws InterruptedException {
    try {
      return page(node, "/metrics")
          .orElse("")
          .lines()
          .filter(line -> line.startsWith(prefix))
          .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
          .sum();
    } catch (IOException unreachable) {
      return 0;
    }
  }

  private Optional<String> page(NodeSpec node, String path)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://" + node.host() + ":" + Ports.ADMIN + path);
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
    HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
    return answer.statusCode() == OK ? Optional.of(answer.body()) : Optional.empty();
  }
}
