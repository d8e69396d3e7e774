import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, one line each, with the milliseconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Milliseconds since the record began. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... values) {
    out.printf("%7d ms  %s%n", now(), String.format(format, values));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
