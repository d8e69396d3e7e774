package io.umberpath.lab.backend;

import io.umberpath.lab.workload.RequestKind;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What ran, by request id. One ledger may serve several back ends; it outlives their restarts.
 * Thread-safe.
 */
public final class RunLedger {
  private final Map<String, Integer> oneTimeRuns = new ConcurrentHashMap<>();
  private final Map<String, StoredUpload> uploads = new ConcurrentHashMap<>();
  private final AtomicLong runs = new AtomicLong();
  private final AtomicLong cutUploads = new AtomicLong();

  /**
   * A stored upload.
   *
   * @param sha256 lower-case hex digest
   * @param bytes length
   */
  public record StoredUpload(String sha256, long bytes) {}

  /** Records that a request began to run: its body was whole and it had a slot. */
  void begin(RequestKind kind, String requestId) {
    runs.incrementAndGet();
    if (!kind.isRepeatable()) {
      oneTimeRuns.merge(requestId, 1, Integer::sum);
    }
  }

  /** Records a whole upload. */
  void store(String requestId, StoredUpload upload) {
    uploads.put(requestId, upload);
  }

  /** Records an upload whose connection ended before its body did. */
  void cutUpload() {
    cutUploads.incrementAndGet();
  }

  /** How often a request that must run at most once ran. */
  public int runsOf(String requestId) {
    return oneTimeRuns.getOrDefault(requestId, 0);
  }

  /** The upload stored under a request id; null if none. */
  public StoredUpload uploadOf(String requestId) {
    return uploads.get(requestId);
  }

  /** Requests of every kind that ran. */
  public long runs() {
    return runs.get();
  }

  /** Runs beyond the first of requests that must run at most once. */
  public long doubleRuns() {
    return doubleRuns("");
  }

  /** As {@link #doubleRuns()}, for requests whose ids begin with the prefix. */
  public long doubleRuns(String prefix) {
    return oneTimeRuns.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToLong(entry -> entry.getValue() - 1L)
        .sum();
  }

  /** Uploads that arrived in part. */
  public long cutUploads() {
    return cutUploads.get();
  }
}
