import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What was sent, answered and run, written to record.txt as it happens. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;
  private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  /** Milliseconds since the start of the record. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String what, String who, String details) {
    out.printf("%7d ms  %-12s %-12s %s%n", millis(), what, who, details);
  }

  /** Records that a backend began to work on a request. */
  void ran(String backend, Backend.Request request, int numberOnConnection) {
    runs.computeIfAbsent(request.id(), id -> new CopyOnWriteArrayList<>()).add(backend);
    add(
        "run",
        backend,
        "id=%s %s %s body=%d bytes, request %d of its connection"
            .formatted(
                request.id(),
                request.method(),
                request.target(),
                request.body().length,
                numberOnConnection));
  }

  /** The backends that ran a request, in order. */
  List<String> runsOf(String id) {
    return new ArrayList<>(runs.getOrDefault(id, List.of()));
  }

  Map<String, List<String>> runs() {
    return runs;
  }

  @Override
  public void close() {
    out.close();
  }
}
