package io.umberpath.lab.caller;

import io.umberpath.lab.workload.RequestKind;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Outcomes and latencies of calls. Latency runs from the moment a call was due, not from the moment
 * it was sent, so that a stall is charged to every call it delays. Thread-safe.
 */
public final class CallRecords {
  private static final long MAX_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final int MAX_SAMPLES = 10;

  private final Map<RequestKind, Map<CallOutcome, AtomicLong>> counts =
      new EnumMap<>(RequestKind.class);
  private final Map<String, CallOutcome> oneTime = new ConcurrentHashMap<>();
  private final Map<String, Boolean> uploads = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> wrongSamples = new ConcurrentLinkedQueue<>();
  private final Histogram latencyMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);

  /** Starts with nothing. */
  public CallRecords() {
    for (RequestKind kind : RequestKind.values()) {
      Map<CallOutcome, AtomicLong> byOutcome = new EnumMap<>(CallOutcome.class);
      for (CallOutcome outcome : CallOutcome.values()) {
        byOutcome.put(outcome, new AtomicLong());
      }
      counts.put(kind, byOutcome);
    }
  }

  void add(Call call, CallOutcome outcome, long micros, String detail) {
    counts.get(call.kind()).get(outcome).incrementAndGet();
    if (!call.kind().isRepeatable()) {
      oneTime.put(call.requestId(), outcome);
    }
    if (call.kind() == RequestKind.UPLOADS && outcome == CallOutcome.COMPLETED) {
      uploads.put(call.requestId(), true);
    }
    if (outcome == CallOutcome.COMPLETED) {
      latencyMicros.recordValue(Math.min(micros, MAX_MICROS));
    }
    if (outcome == CallOutcome.WRONG_ANSWER && wrongSamples.size() < MAX_SAMPLES) {
      wrongSamples.add(call.kind() + " " + call.requestId() + ": " + detail);
    }
  }

  /** Calls of one kind with one outcome. */
  public long count(RequestKind kind, CallOutcome outcome) {
    return counts.get(kind).get(outcome).get();
  }

  /** Calls with one outcome. */
  public long count(CallOutcome outcome) {
    return counts.values().stream().mapToLong(byOutcome -> byOutcome.get(outcome).get()).sum();
  }

  /** Calls with any outcome. */
  public long total() {
    long total = 0;
    for (CallOutcome outcome : CallOutcome.values()) {
      total += count(outcome);
    }
    return total;
  }

  /** Outcome of each request that must run at most once, by request id. */
  public Map<String, CallOutcome> oneTimeOutcomes() {
    return Map.copyOf(oneTime);
  }

  /** Request ids of uploads whose callers were told that they are stored. */
  public Iterable<String> completedUploads() {
    return uploads.keySet();
  }

  /** A few of the wrong answers, described. */
  public Iterable<String> wrongAnswers() {
    return wrongSamples;
  }

  /** Latency of completed calls at a percentile, microseconds. */
  public long latencyMicros(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile);
  }
}
