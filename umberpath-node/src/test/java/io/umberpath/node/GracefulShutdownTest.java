package io.umberpath.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends a termination signal to a node in a separate process. */
@Timeout(120)
class GracefulShutdownTest {
  private static final Path SAMPLE = Path.of("..", "config", "klang-valley.yaml");

  @Test
  void signalDrainsTheProxyAndExitsWithZero() throws Exception {
    Process process = start();
    try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
      readUntil(log, "node-started");
      process.toHandle().destroy();
      List<String> events = readUntil(log, "node-stopped");
      assertThat(events).anyMatch(line -> line.contains("node-drained"));
      assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isZero();
    } finally {
      process.destroyForcibly();
    }
  }

  private static Process start() throws IOException {
    String address = "127.0.0.1:" + freePort();
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "node",
            "--address",
            address,
            "--seed",
            address,
            "--platform",
            "http://127.0.0.1:1/document",
            "--config",
            SAMPLE.toString())
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private static List<String> readUntil(BufferedReader log, String event) throws IOException {
    List<String> lines = new ArrayList<>();
    String line = log.readLine();
    while (line != null && !line.contains(event)) {
      lines.add(line);
      line = log.readLine();
    }
    assertThat(line).as("%s after %s", event, lines).isNotNull();
    return lines;
  }
}
