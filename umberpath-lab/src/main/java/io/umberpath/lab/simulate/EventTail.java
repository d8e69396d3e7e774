package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlOutput;
import java.util.ArrayList;
import java.util.List;

/** The last events of a simulation, for its trace. */
final class EventTail {
  private static final int KEPT = 3_000;
  private static final int LONGEST_TEXT = 600;

  private record Entry(
      long nanos, SimulatedNode node, ControlInput input, List<ControlOutput> outputs) {}

  /**
   * One event as text; secrets never appear in the text of a resource.
   *
   * @param type always {@code event}
   * @param atNanos virtual time
   * @param node node index
   * @param input what happened
   * @param outputs what the state machine asked for
   */
  record Line(String type, long atNanos, int node, String input, List<String> outputs) {}

  private final Entry[] entries = new Entry[KEPT];
  private long added;

  void add(long nanos, SimulatedNode node, ControlInput input, List<ControlOutput> outputs) {
    entries[(int) (added++ % KEPT)] = new Entry(nanos, node, input, outputs);
  }

  List<Line> lines() {
    List<Line> lines = new ArrayList<>();
    for (long place = Math.max(0, added - KEPT); place < added; place++) {
      Entry entry = entries[(int) (place % KEPT)];
      lines.add(
          new Line(
              "event",
              entry.nanos,
              entry.node.index,
              text(entry.input),
              entry.outputs.stream().map(EventTail::text).toList()));
    }
    return lines;
  }

  private static String text(Object value) {
    String text = value.toString();
    return text.length() <= LONGEST_TEXT ? text : text.substring(0, LONGEST_TEXT) + "...";
  }
}
