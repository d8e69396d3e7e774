package io.umberpath.node.mesh;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** How the requests of {@link ShortageModel} ended. */
final class ShortageTally {
  private static final long MILLIS_PER_SECOND = 1_000;

  /**
   * End of a client's request.
   *
   * @param value 1 if the response was in time, less if late, 0 if there was none
   * @param tries how often it was sent
   */
  record End(
      ShortageKind kind,
      String zone,
      long sentMillis,
      ShortageEdge.Outcome outcome,
      double value,
      int tries) {
    boolean isServed() {
      return outcome == ShortageEdge.Outcome.SERVED;
    }
  }

  private record CallEnd(long second, ShortageEdge.Outcome outcome, double millis) {}

  private final List<End> ends = new ArrayList<>();
  private final List<CallEnd> calls = new ArrayList<>();
  private final Map<Long, String> notes = new TreeMap<>();
  private final Map<ShortageKind, Integer> starts = new EnumMap<>(ShortageKind.class);
  private final Map<ShortageKind, Integer> gateRefusals = new EnumMap<>(ShortageKind.class);
  private final Map<String, Double> slotMillis = new TreeMap<>();

  void ended(End end) {
    ends.add(end);
  }

  /**
   * Records the end of a nested call.
   *
   * @param second when it was sent
   * @param millis how long it took
   */
  void callEnded(long second, ShortageEdge.Outcome outcome, double millis) {
    calls.add(new CallEnd(second, outcome, millis));
  }

  void started(ShortageKind kind) {
    starts.merge(kind, 1, Integer::sum);
  }

  void gateRefused(ShortageKind kind) {
    gateRefusals.merge(kind, 1, Integer::sum);
  }

  /**
   * Records for how long a request held its slot.
   *
   * @param use what became of it
   */
  void slotUsed(ShortageKind kind, String use, double millis) {
    slotMillis.merge(kind + " " + use, millis, Double::sum);
  }

  void note(long millis, Stream<String> backends) {
    notes.put(millis / MILLIS_PER_SECOND - 1, String.join("; ", backends.toList()));
  }

  /** Adds the requests of another run. */
  void add(ShortageTally other) {
    ends.addAll(other.ends);
    calls.addAll(other.calls);
  }

  /** Share of the value owed that was earned; 1 if none is owed. */
  double valueShare(Predicate<End> filter) {
    return ends.stream().filter(filter).mapToDouble(End::value).average().orElse(1);
  }

  double servedShare(Predicate<End> filter) {
    return ends.stream().filter(filter).mapToInt(end -> end.isServed() ? 1 : 0).average().orElse(1);
  }

  /** Share of the nested calls sent in these seconds that were served. */
  double servedCallShare(long fromSecond, long toSecond) {
    return calls.stream()
        .filter(call -> call.second() >= fromSecond && call.second() < toSecond)
        .mapToInt(call -> call.outcome() == ShortageEdge.Outcome.SERVED ? 1 : 0)
        .average()
        .orElse(1);
  }

  private double meanCallMillis(long second) {
    return calls.stream()
        .filter(call -> call.second() == second)
        .mapToDouble(CallEnd::millis)
        .average()
        .orElse(0);
  }

  static Predicate<End> sentBetween(long fromMillis, long toMillis) {
    return end -> end.sentMillis() >= fromMillis && end.sentMillis() < toMillis;
  }

  /** Totals over the whole run. */
  String describe() {
    StringBuilder text = new StringBuilder();
    text.append("starts %s, refused at gates %s, slot seconds:".formatted(starts, gateRefusals));
    slotMillis.forEach(
        (use, millis) -> text.append(" %s %.1f,".formatted(use, millis / MILLIS_PER_SECOND)));
    return text.toString();
  }

  /** A row for each second in which requests were sent: sent, value, refused, failed; calls. */
  String table() {
    StringBuilder text = new StringBuilder();
    long last = ends.stream().mapToLong(End::sentMillis).max().orElse(0) / MILLIS_PER_SECOND;
    for (long second = 0; second <= last; second++) {
      text.append("%2d".formatted(second));
      for (ShortageKind kind : ShortageKind.OF_CLIENTS) {
        text.append(cell(kind, second));
      }
      text.append(
          " | calls %.2f %3.0f ms | %s%n"
              .formatted(
                  servedCallShare(second, second + 1),
                  meanCallMillis(second),
                  notes.getOrDefault(second, "")));
    }
    return text.toString();
  }

  private String cell(ShortageKind kind, long second) {
    List<End> sent =
        ends.stream()
            .filter(end -> end.kind() == kind)
            .filter(sentBetween(second * MILLIS_PER_SECOND, (second + 1) * MILLIS_PER_SECOND))
            .toList();
    long refused = count(sent, ShortageEdge.Outcome.REFUSED);
    long failed = count(sent, ShortageEdge.Outcome.FAILED);
    double value = sent.stream().mapToDouble(End::value).average().orElse(1);
    return " | %s %3d %.2f r%d f%d".formatted(kind, sent.size(), value, refused, failed);
  }

  private static long count(List<End> sent, ShortageEdge.Outcome outcome) {
    return sent.stream().filter(end -> end.outcome() == outcome).count();
  }
}
