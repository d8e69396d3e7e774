package io.umberpath.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.HttpServer;
import io.umberpath.node.cli.CommandLine;
import io.umberpath.node.cli.ExitCode;
import io.umberpath.node.cli.Output;
import io.umberpath.node.settings.NodeSettings;
import io.umberpath.node.settings.SettingsLoader;
import io.umberpath.node.settings.SettingsOverrides;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a complete node as a fleet of one, over real sockets. */
class NodeProcessTest {
  private static final long TIMEOUT_SECONDS = 60;
  private static final Path SAMPLE = Path.of("..", "config", "western-sri-lanka.yaml");
  private static final String CHANGE =
      """
      pools:
        - {name: desk, service: dealer-desk, slotsPerBackend: 6, connectionsPerBackend: 130}
      routes:
        - {name: desk, pathPrefix: /browse, pool: desk, repeatableMethods: [GET], timeoutMillis: 9000}
      """;

  @TempDir private Path directory;
  private final List<AutoCloseable> parts = new ArrayList<>();
  private HttpServer platform;
  private HttpServer backend;

  @BeforeEach
  void startFakeServers() throws IOException {
    backend = server("/", "from the back end");
    platform = server("/document", "");
  }

  private HttpServer server(String path, String responseBody) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    answer(server, path, responseBody);
    server.start();
    parts.add(() -> server.stop(0));
    return server;
  }

  private static void answer(HttpServer server, String path, String responseBody) {
    byte[] body = responseBody.getBytes(StandardCharsets.UTF_8);
    server.createContext(
        path,
        exchange -> {
          exchange.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
  }

  @AfterEach
  void stop() throws Exception {
    for (int index = parts.size() - 1; index >= 0; index--) {
      parts.get(index).close();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private NodeSettings settings(int controlPort, int hopPort) {
    return SettingsLoader.load(
            SAMPLE,
            new SettingsOverrides(
                List.of(
                    override("node.address", "127.0.0.1:" + controlPort),
                    override("node.seeds", "[]"),
                    override("fleet.initialMembers", "1"),
                    override("proxy.edgePort", "0"),
                    override("proxy.hopPort", Integer.toString(hopPort)),
                    override("proxy.backend.id", "desk-1"),
                    override("proxy.backend.address", "127.0.0.1:" + port(backend)),
                    override("platform.url", "http://127.0.0.1:" + port(platform) + "/document"))))
        .get();
  }

  private static SettingsOverrides.Override override(String field, String value) {
    return new SettingsOverrides.Override(field, value);
  }

  private static int port(HttpServer server) {
    return server.getAddress().getPort();
  }

  @Test
  void changeAppliedByTheCommandLineRoutesRequests() throws Exception {
    int hopPort = freePort();
    platform.removeContext("/document");
    answer(platform, "/document", document(hopPort));
    NodeProcess node = new NodeProcess(settings(freePort(), hopPort));
    parts.add(node);
    node.start();
    awaitBody(node.adminPort(), "/readyz", "ready\n");
    awaitBody(node.adminPort(), "/status", "\"documentRevision\":1");
    Path change = Files.writeString(directory.resolve("change.yaml"), CHANGE);
    Path token =
        Files.writeString(directory.resolve("token"), "demo-operator-of-western-sri-lanka");
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(printed, true);
    ExitCode exitCode =
        new CommandLine(new Output(stream, stream))
            .run(
                "apply",
                "-f",
                change.toString(),
                "--wait",
                "--timeout",
                TIMEOUT_SECONDS + "s",
                "--server",
                "127.0.0.1:" + node.operatorPort(),
                "--token-file",
                token.toString());
    assertThat(exitCode).as(printed.toString(StandardCharsets.UTF_8)).isEqualTo(ExitCode.OK);
    awaitBody(node.edgePort(), "/browse/profiles", "from the back end");
    assertThat(get(node.edgePort(), "/other").statusCode()).isEqualTo(404);
    assertThat(get(node.adminPort(), "/metrics").body())
        .contains("umberpath_proxy_requests", "umberpath_transport_bytes");
  }

  private static String document(int hopPort) {
    return "{\"revision\":1,\"machines\":[],\"services\":{\"dealer-desk\":[{\"id\":\"desk-1\","
        + "\"host\":\"127.0.0.1\",\"port\":1,\"zone\":\"col-a\",\"nodeHost\":\"127.0.0.1\","
        + "\"nodeHopPort\":"
        + hopPort
        + "}]}}";
  }

  @Test
  void failedStartReleasesItsPorts() throws Exception {
    int controlPort = freePort();
    try (ServerSocket taken = new ServerSocket(0)) {
      NodeSettings settings = settings(controlPort, 0);
      NodeSettings clashing =
          new NodeSettings(
              settings.control(),
              settings.proxy(),
              settings.platform(),
              settings.operator(),
              new NodeSettings.Admin("127.0.0.1", taken.getLocalPort()),
              settings.security());
      NodeProcess node = new NodeProcess(clashing);
      assertThatThrownBy(node::start).isInstanceOf(IOException.class);
    }
    NodeProcess again = new NodeProcess(settings(controlPort, 0));
    parts.add(again);
    again.start();
    assertThat(get(again.adminPort(), "/healthz").statusCode()).isEqualTo(200);
  }

  private static void awaitBody(int port, String path, String text) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    String body = get(port, path).body();
    while (!body.contains(text) && System.nanoTime() < end) {
      Thread.sleep(20);
      body = get(port, path).body();
    }
    assertThat(body).contains(text);
  }

  private static HttpResponse<String> get(int port, String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + port + path);
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }
}
