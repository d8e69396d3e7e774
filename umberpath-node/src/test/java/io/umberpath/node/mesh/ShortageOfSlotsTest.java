package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Two services that are short of slots for some seconds: by a burst of requests, by slow backends
 * or by lost ones. More seeds are run with {@code -Dshortage.seeds=50}, and {@code
 * -Dshortage.table=true} prints each second of the first one.
 */
final class ShortageOfSlotsTest {
  private static final int SEEDS = Integer.getInteger("shortage.seeds", 8);
  private static final boolean PRINTS_TABLE = Boolean.getBoolean("shortage.table");

  /** Share of its value that each kind and zone earns over the whole. */
  private static final double MIN_VALUE = 0.41;

  /** Share served of a kind, or of the nested calls, relative to that of all requests. */
  private static final double MIN_RELATIVE_SHARE = 0.25;

  /** Share of its value that each kind earns once the shortage is over. */
  private static final double MIN_VALUE_AFTERWARDS = 0.9;

  private static final long BACK_AFTER_MILLIS = 2_000;
  private static final long JUDGED_MILLIS = 3_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Results of the runs, which both tests judge. */
  private static final Map<ShortageScenario, ShortageTally> TALLIES = new HashMap<>();

  private enum Trouble {
    LOAD_OF_1_5(seed -> ShortageScenario.burst(1.5, seed)),
    LOAD_OF_2(seed -> ShortageScenario.burst(2, seed)),
    ONE_SLOW(seed -> ShortageScenario.slow(List.of("hub1"), seed)),
    TWO_SLOW(seed -> ShortageScenario.slow(List.of("hub1", "hub2"), seed)),
    ONE_LOST(seed -> ShortageScenario.lost(List.of("hub2"), seed)),
    TWO_LOST(seed -> ShortageScenario.lost(List.of("hub1", "hub2"), seed));

    private final LongFunction<ShortageScenario> scenario;

    Trouble(LongFunction<ShortageScenario> scenario) {
      this.scenario = scenario;
    }
  }

  @ParameterizedTest
  @EnumSource
  void noKindAndNoZoneStarves(Trouble trouble) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      ShortageScenario scenario = trouble.scenario.apply(seed);
      ShortageTally tally = run(scenario);

      assertKeepsFloors(tally, scenario, "seed " + seed);
      assertNoneStarves(tally, 0, scenario.endMillis(), "whole, seed " + seed);
      assertNoneStarves(
          tally,
          scenario.troubleStartMillis(),
          scenario.troubleEndMillis(),
          "trouble, seed " + seed);
    }
  }

  private static ShortageTally run(ShortageScenario scenario) {
    return TALLIES.computeIfAbsent(scenario, ShortageOfSlotsTest::runModel);
  }

  private static ShortageTally runModel(ShortageScenario scenario) {
    boolean isPrinted = PRINTS_TABLE && scenario.seed() == 1;
    ShortageModel model = new ShortageModel(isPrinted ? scenario.printed() : scenario);
    model.run();
    if (isPrinted) {
      System.out.println(scenario);
      System.out.println(model.tally().table());
      System.out.println(model.tally().describe());
    }
    return model.tally();
  }

  private static void assertKeepsFloors(
      ShortageTally tally, ShortageScenario scenario, String description) {
    Predicate<ShortageTally.End> all = ShortageTally.sentBetween(0, scenario.endMillis());
    for (ShortageKind kind : ShortageKind.OF_CLIENTS) {
      assertThat(tally.valueShare(all.and(end -> end.kind() == kind)))
          .as("value of %s, %s", kind, description)
          .isGreaterThanOrEqualTo(MIN_VALUE);
    }
    for (String zone : ShortageModel.ZONES) {
      assertThat(tally.valueShare(all.and(end -> end.zone().equals(zone))))
          .as("value in zone %s, %s", zone, description)
          .isGreaterThanOrEqualTo(MIN_VALUE);
    }
  }

  private static void assertNoneStarves(
      ShortageTally tally, long fromMillis, long toMillis, String description) {
    Predicate<ShortageTally.End> sent = ShortageTally.sentBetween(fromMillis, toMillis);
    double least = MIN_RELATIVE_SHARE * tally.servedShare(sent);
    for (ShortageKind kind : ShortageKind.OF_CLIENTS) {
      assertThat(tally.servedShare(sent.and(end -> end.kind() == kind)))
          .as("share served of %s, %s", kind, description)
          .isGreaterThanOrEqualTo(least);
    }
    double calls =
        tally.servedCallShare(fromMillis / MILLIS_PER_SECOND, toMillis / MILLIS_PER_SECOND);
    assertThat(calls)
        .as("share served of nested calls, %s", description)
        .isGreaterThanOrEqualTo(least);
  }

  /** Long requests that were late held slots for seconds after the shortage. */
  @ParameterizedTest
  @EnumSource
  void eachKindIsBackTwoSecondsAfterTheShortage(Trouble trouble) {
    ShortageTally total = new ShortageTally();
    for (long seed = 1; seed <= SEEDS; seed++) {
      total.add(run(trouble.scenario.apply(seed)));
    }

    long fromMillis = trouble.scenario.apply(1).causeEndMillis() + BACK_AFTER_MILLIS;
    Predicate<ShortageTally.End> judged =
        ShortageTally.sentBetween(fromMillis, fromMillis + JUDGED_MILLIS);
    for (ShortageKind kind : ShortageKind.OF_CLIENTS) {
      assertThat(total.valueShare(judged.and(end -> end.kind() == kind)))
          .as("value of %s from 2 to 5 s after the end", kind)
          .isGreaterThanOrEqualTo(MIN_VALUE_AFTERWARDS);
    }
  }
}
