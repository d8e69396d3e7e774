package io.umberpath.lab.simulate;

import io.umberpath.lab.simulate.FaultEvent.Direction;
import io.umberpath.lab.simulate.FaultEvent.Kind;
import io.umberpath.lab.simulate.FaultEvent.PlatformMode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The built-in fault cases by name; two names joined by {@code +} overlap in time. */
public final class FaultTable {
  private static final String START = "5s";
  private static final long SECOND_OF_PAIR_NANOS = 1_500 * Durations.MILLI;
  private static final int COMMIT_STEPS = 24;
  private static final Map<String, List<FaultEvent>> CASES = cases();

  private FaultTable() {}

  /** Names of the single cases. */
  public static List<String> names() {
    return List.copyOf(CASES.keySet());
  }

  /**
   * The events of a case or of a pair of cases.
   *
   * @throws IllegalArgumentException naming the value if there is no such case
   */
  public static List<FaultEvent> named(String text) {
    List<FaultEvent> events = new ArrayList<>();
    int place = 0;
    for (String name : text.split("\\+")) {
      List<FaultEvent> found = CASES.get(name);
      if (found == null) {
        throw new IllegalArgumentException("--fault '" + name + "' is not one of " + names());
      }
      long delay = place++ * SECOND_OF_PAIR_NANOS;
      found.forEach(event -> events.add(event.delayed(delay)));
    }
    return events;
  }

  private static Map<String, List<FaultEvent>> cases() {
    Map<String, List<FaultEvent>> cases = new LinkedHashMap<>();
    for (int step = 0; step < COMMIT_STEPS; step++) {
      cases.put("leader-killed-at-step-" + step, List.of(leaderKilledAfter(step)));
    }
    cases.put("kill-40-percent", List.of(kill("fraction:0.4")));
    cases.put("kill-75-percent", List.of(kill("fraction:0.75")));
    cases.put("kill-all-but-one", List.of(kill("all-but-one")));
    cases.put("kill-all", List.of(kill("all")));
    cases.put("kill-all-relays", List.of(kill("relays")));
    cases.put("zone-lost", List.of(silentKill("zone:0", "10s")));
    cases.put("zone-lost-for-good", List.of(silentKill("zone:1", null)));
    cases.put("leader-paused", List.of(timed(Kind.PAUSE, "leader", "60s")));
    cases.put("readers-paused", List.of(timed(Kind.PAUSE, "readers", "20s")));
    cases.put("many-paused", List.of(timed(Kind.PAUSE, "fraction:0.6", "15s")));
    cases.put("clocks-jump", List.of(timed(Kind.CLOCK_JUMP, "fraction:0.5", null)));
    cases.put("leader-clock-jumps", List.of(timed(Kind.CLOCK_JUMP, "leader", null)));
    partitions(cases);
    platform(cases);
    messages(cases);
    restarts(cases);
    return cases;
  }

  private static void partitions(Map<String, List<FaultEvent>> cases) {
    cases.put("zone-cut-off", List.of(cut("zone:0", Direction.BOTH)));
    cases.put("half-cut-off", List.of(cut("fraction:0.5", Direction.BOTH)));
    cases.put("minority-cut-off", List.of(cut("fraction:0.3", Direction.BOTH)));
    cases.put("leader-cut-off", List.of(cut("leader", Direction.BOTH)));
    cases.put("leader-cannot-send", List.of(cut("leader", Direction.OUT)));
    cases.put("leader-cannot-hear", List.of(cut("leader", Direction.IN)));
    cases.put("zone-cannot-send", List.of(cut("zone:1", Direction.OUT)));
    cases.put("zone-cannot-hear", List.of(cut("zone:1", Direction.IN)));
  }

  private static void platform(Map<String, List<FaultEvent>> cases) {
    for (PlatformMode mode : PlatformMode.values()) {
      if (mode != PlatformMode.HEALTHY) {
        FaultEvent event = timed(Kind.PLATFORM, "all", "20s");
        cases.put("platform-" + mode.label(), List.of(withMode(event, mode)));
      }
    }
  }

  private static void messages(Map<String, List<FaultEvent>> cases) {
    cases.put("messages-lost", List.of(withProbability(Kind.LOSS, 0.2)));
    cases.put("messages-duplicated", List.of(withProbability(Kind.DUPLICATION, 0.5)));
    cases.put("messages-late", List.of(withProbability(Kind.LATE, 0.2)));
    cases.put("everyone-reconnects", List.of(timed(Kind.DISCONNECT, "all", null)));
  }

  private static void restarts(Map<String, List<FaultEvent>> cases) {
    cases.put(
        "restarts-in-an-election",
        List.of(
            kill("leader"),
            kill("random:2").delayed(4 * Durations.SECOND),
            kill("random:2").delayed(6 * Durations.SECOND),
            kill("random:2").delayed(8 * Durations.SECOND)));
    cases.put(
        "rolling-restart",
        List.of(
            kill("random:2"),
            kill("random:2").delayed(3 * Durations.SECOND),
            kill("random:2").delayed(6 * Durations.SECOND),
            kill("random:2").delayed(9 * Durations.SECOND)));
    cases.put("machines-replaced", List.of(timed(Kind.REPLACE, "random:3", "4s")));
    cases.put(
        "majority-lost-then-reform",
        List.of(
            silentKill("fraction:0.6", null),
            timed(Kind.REFORM, "all", null).delayed(15 * Durations.SECOND)));
  }

  private static FaultEvent timed(Kind kind, String target, String duration) {
    return new FaultEvent(
        START,
        kind,
        Optional.of(target),
        Optional.ofNullable(duration),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }

  private static FaultEvent kill(String target) {
    return timed(Kind.KILL, target, "1s");
  }

  private static FaultEvent silentKill(String target, String duration) {
    FaultEvent event = timed(Kind.KILL, target, duration);
    return new FaultEvent(
        event.at(),
        event.kind(),
        event.target(),
        event.duration(),
        event.direction(),
        event.mode(),
        event.afterSends(),
        Optional.of(true),
        event.probability(),
        event.by());
  }

  private static FaultEvent leaderKilledAfter(int sends) {
    FaultEvent event = kill("leader");
    return new FaultEvent(
        event.at(),
        event.kind(),
        event.target(),
        event.duration(),
        event.direction(),
        event.mode(),
        Optional.of(sends),
        event.silent(),
        event.probability(),
        event.by());
  }

  private static FaultEvent cut(String target, Direction direction) {
    FaultEvent event = timed(Kind.PARTITION, target, "20s");
    return new FaultEvent(
        event.at(),
        event.kind(),
        event.target(),
        event.duration(),
        Optional.of(direction),
        event.mode(),
        event.afterSends(),
        event.silent(),
        event.probability(),
        event.by());
  }

  private static FaultEvent withMode(FaultEvent event, PlatformMode mode) {
    return new FaultEvent(
        event.at(),
        event.kind(),
        event.target(),
        event.duration(),
        event.direction(),
        Optional.of(mode),
        event.afterSends(),
        event.silent(),
        event.probability(),
        event.by());
  }

  private static FaultEvent withProbability(Kind kind, double probability) {
    FaultEvent event = timed(kind, "all", "15s");
    return new FaultEvent(
        event.at(),
        event.kind(),
        event.target(),
        event.duration(),
        event.direction(),
        event.mode(),
        event.afterSends(),
        event.silent(),
        Optional.of(probability),
        event.by());
  }
}
