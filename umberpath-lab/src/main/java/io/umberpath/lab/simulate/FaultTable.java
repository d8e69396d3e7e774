package io.umberpath.lab.simulate;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The built-in fault cases by name; names joined by {@code +} overlap in time. */
public final class FaultTable {
  /** Stands for every single case. */
  static final String SINGLY = "singly";

  /** Stands for every ordered pair of different cases. */
  static final String IN_PAIRS = "in-pairs";

  private static final int PAIRED_STEP = 5;
  private static final String RESOURCE = "fault-cases.yaml";
  private static final String STEP_TEMPLATE = "leader-killed-at-step";
  private static final int COMMIT_STEPS = 24;
  private static final long NEXT_OF_PAIR_NANOS = 1_500 * Durations.MILLI;
  private static final Map<String, List<FaultEvent>> CASES = cases();

  private FaultTable() {}

  /** Names of the single cases. */
  public static List<String> names() {
    return List.copyOf(CASES.keySet());
  }

  /**
   * The cases that a name on the command line stands for.
   *
   * @param text {@link #SINGLY}, {@link #IN_PAIRS}, or one case
   */
  static List<String> expand(String text) {
    if (text.equals(SINGLY)) {
      return names();
    }
    if (!text.equals(IN_PAIRS)) {
      return List.of(text);
    }
    List<String> pairs = new ArrayList<>();
    List<String> names = names().stream().filter(name -> !isLaterStep(name)).toList();
    for (String first : names) {
      names.stream()
          .filter(second -> !second.equals(first))
          .map(second -> first + "+" + second)
          .forEach(pairs::add);
    }
    return pairs;
  }

  /** All steps of a commit but one are left out of the pairs, which are many enough. */
  private static boolean isLaterStep(String name) {
    return name.startsWith(STEP_TEMPLATE) && !name.equals(STEP_TEMPLATE + "-" + PAIRED_STEP);
  }

  /**
   * The events of a case or of several at a time.
   *
   * @throws IllegalArgumentException naming the value if there is no such case
   */
  public static List<FaultEvent> named(String text) {
    List<FaultEvent> events = new ArrayList<>();
    int place = 0;
    for (String name : text.split("\\+")) {
      List<FaultEvent> found = CASES.get(name);
      if (found == null) {
        throw new IllegalArgumentException(
            "--fault '" + name + "' is not singly, in-pairs or one of " + names());
      }
      long delay = place++ * NEXT_OF_PAIR_NANOS;
      found.forEach(event -> events.add(event.delayed(delay)));
    }
    return events;
  }

  private static Map<String, List<FaultEvent>> cases() {
    try (InputStream resource = FaultTable.class.getResourceAsStream(RESOURCE)) {
      Map<String, List<FaultEvent>> cases = new LinkedHashMap<>(FaultFile.readCases(resource));
      List<FaultEvent> template = cases.remove(STEP_TEMPLATE);
      for (int step = 0; step < COMMIT_STEPS; step++) {
        int sends = step;
        cases.put(
            STEP_TEMPLATE + "-" + step,
            template.stream().map(event -> event.afterSends(sends)).toList());
      }
      return cases;
    } catch (IOException e) {
      throw new UncheckedIOException("built-in fault cases", e);
    }
  }
}
