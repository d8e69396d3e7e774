package io.umberpath.lab.platform;

import java.util.HashMap;
import java.util.Map;

/** Counts reads and the nodes that make them. Thread-safe. */
final class ReaderCounts {
  /** How long a reader counts as present after its last read. */
  static final long WINDOW_MILLIS = 10_000;

  private final Map<String, Long> lastReadMillis = new HashMap<>();
  private long requests;
  private int concurrent;
  private int maxConcurrent;
  private int maxDistinct;

  synchronized void begin(long nowMillis, String reader) {
    requests++;
    concurrent++;
    maxConcurrent = Math.max(maxConcurrent, concurrent);
    lastReadMillis.put(reader, nowMillis);
    maxDistinct = Math.max(maxDistinct, distinct(nowMillis));
  }

  synchronized void end() {
    concurrent--;
  }

  synchronized ReaderReport report(long nowMillis) {
    return new ReaderReport(requests, concurrent, maxConcurrent, distinct(nowMillis), maxDistinct);
  }

  private int distinct(long nowMillis) {
    lastReadMillis.values().removeIf(lastMillis -> lastMillis < nowMillis - WINDOW_MILLIS);
    return lastReadMillis.size();
  }
}
