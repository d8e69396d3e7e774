package io.umberpath.node.logs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The process must not block when the reader of its log output stops reading. */
final class BlockedLogReaderTest {
  private static final long TIMEOUT_SECONDS = 60;
  private static final String SYSTEM_BACKEND =
      "com.google.common.flogger.backend.system.SimpleBackendFactory";

  @Test
  void loggingNeverBlocksAndDroppedLinesAreCounted() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                // The backend in the platform's jar; the test class path has another one as well.
                "-Dflogger.backend_factory=" + SYSTEM_BACKEND,
                "-cp",
                System.getProperty("java.class.path"),
                LogFloodMain.class.getName())
            .start();
    try {
      // Standard output is not read, but the process must still log all lines.
      CompletableFuture<String> done = CompletableFuture.supplyAsync(() -> firstLine(process));
      assertThat(done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(LogFloodMain.DONE);

      CompletableFuture<List<String>> read =
          CompletableFuture.supplyAsync(() -> lines(process.inputReader(StandardCharsets.UTF_8)));
      signalEnd(process);
      List<String> written = read.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

      assertThat(written).allSatisfy(line -> assertThat(line).startsWith("{").endsWith("}"));
      long dropped = written.stream().mapToLong(BlockedLogReaderTest::droppedCount).sum();
      long logged = written.stream().filter(line -> droppedCount(line) == 0).count();
      assertThat(dropped).isPositive();
      assertThat(logged + dropped).isEqualTo(LogFloodMain.LINES + 1);
    } finally {
      process.destroyForcibly();
    }
  }

  private static void signalEnd(Process process) throws IOException {
    try (OutputStream input = process.getOutputStream()) {
      input.write('\n');
    }
  }

  private static String firstLine(Process process) {
    try {
      return process.errorReader(StandardCharsets.UTF_8).readLine();
    } catch (IOException ended) {
      return String.valueOf(ended.getMessage());
    }
  }

  private static List<String> lines(BufferedReader reader) {
    return reader.lines().collect(Collectors.toList());
  }

  private static long droppedCount(String line) {
    String count = "\"event\":\"lines-dropped\",\"count\":";
    int start = line.indexOf(count);
    return start < 0
        ? 0
        : Long.parseLong(line.substring(start + count.length(), line.indexOf('}')));
  }
}
