package io.umberpath.lab.simulate;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;
import java.util.Optional;

/**
 * One thing that goes wrong at one time.
 *
 * @param at when, after the warm-up, for example {@code 5s}
 * @param kind what happens
 * @param target to whom, see {@link FaultTarget}
 * @param duration how long: down time, pause, cut; kills without it are final
 * @param direction which way a partition cuts
 * @param mode fault of the platform
 * @param afterSends a kill strikes after this many further messages of the target
 * @param silent whether a kill breaks no connection, as when a machine loses power
 * @param probability share of messages hit by a network fault
 * @param by how far a clock jumps or how late a message is
 */
public record FaultEvent(
    String at,
    Kind kind,
    Optional<String> target,
    @JsonProperty("for") Optional<String> duration,
    Optional<Direction> direction,
    Optional<PlatformMode> mode,
    Optional<Integer> afterSends,
    Optional<Boolean> silent,
    Optional<Double> probability,
    Optional<String> by) {
  /** What happens. */
  public enum Kind {
    /** The process dies; with a duration it is started again as a new incarnation. */
    KILL,
    /** The process stops and goes on later with what it knew. */
    PAUSE,
    /** The target and the others cannot reach each other. */
    PARTITION,
    /** The target's clock jumps ahead. */
    CLOCK_JUMP,
    /** The platform's service misbehaves. */
    PLATFORM,
    /** Messages are lost. */
    LOSS,
    /** Messages arrive twice. */
    DUPLICATION,
    /** Messages arrive late, behind younger ones. */
    LATE,
    /** Every connection of the target breaks. */
    DISCONNECT,
    /** Machines are replaced: the processes die and as many start at new addresses. */
    REPLACE,
    /** An operator re-forms the fleet, naming every dead process as lost. */
    REFORM;

    /** The name in files. */
    @com.fasterxml.jackson.annotation.JsonValue
    public String label() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /** Which way a partition cuts. */
  public enum Direction {
    /** Both ways. */
    BOTH,
    /** Messages to the target are lost. */
    IN,
    /** Messages from the target are lost. */
    OUT;

    /** The name in files. */
    @com.fasterxml.jackson.annotation.JsonValue
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** How the platform's service behaves. */
  public enum PlatformMode {
    /** As it should. */
    HEALTHY,
    /** Refuses reads. */
    DOWN,
    /** Answers after several seconds. */
    SLOW,
    /** Goes on answering with the document of the time the fault began. */
    STALE,
    /** Answers cannot be understood. */
    GARBLED,
    /** Answers with an older document. */
    BACK;

    /** The name in files. */
    @com.fasterxml.jackson.annotation.JsonValue
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Checks each field by itself. */
  public FaultEvent {
    requirePresent(at, "at");
    requirePresent(kind, "kind");
    checkDuration("at", at);
    duration.ifPresent(text -> checkDuration("for", text));
    by.ifPresent(text -> checkDuration("by", text));
    target.ifPresent(FaultTarget::parse);
    if (probability.isPresent() && !(probability.get() > 0 && probability.get() <= 1)) {
      throw invalid("probability", probability.get(), "must be above 0 and at most 1");
    }
    if (afterSends.isPresent() && afterSends.get() < 0) {
      throw invalid("afterSends", afterSends.get(), "must not be negative");
    }
    if (kind == Kind.PLATFORM && mode.isEmpty()) {
      throw invalid("mode", "", "must be given for a platform fault");
    }
    if (duration.isEmpty() && needsDuration(kind)) {
      throw invalid("for", "", "must be given for " + kind.label());
    }
  }

  private static boolean needsDuration(Kind kind) {
    return switch (kind) {
      case PAUSE, PARTITION, PLATFORM, LOSS, DUPLICATION, LATE -> true;
      default -> false;
    };
  }

  private static void requirePresent(Object value, String field) {
    if (value == null) {
      throw invalid(field, "", "must be given");
    }
  }

  private static void checkDuration(String field, String text) {
    try {
      Durations.parseNanos(text);
    } catch (IllegalArgumentException e) {
      throw invalid(field, text, "must be a duration such as 250ms, 30s or 10m");
    }
  }

  private static IllegalArgumentException invalid(String field, Object value, String message) {
    return new IllegalArgumentException(field + " = '" + value + "': " + message);
  }

  long atNanos() {
    return Durations.parseNanos(at);
  }

  long durationNanos() {
    return duration.map(Durations::parseNanos).orElse(0L);
  }

  long byNanos(long fallback) {
    return by.map(Durations::parseNanos).orElse(fallback);
  }

  /** When its effect is over. */
  long endNanos() {
    return atNanos() + durationNanos();
  }

  FaultTarget selector() {
    return FaultTarget.parse(target.orElse("all"));
  }

  /** The same fault later. */
  FaultEvent delayed(long nanos) {
    return new FaultEvent(
        (atNanos() + nanos) / Durations.MILLI + "ms",
        kind,
        target,
        duration,
        direction,
        mode,
        afterSends,
        silent,
        probability,
        by);
  }

  /** The same fault, striking after a number of the target's messages. */
  FaultEvent afterSends(int sends) {
    return new FaultEvent(
        at, kind, target, duration, direction, mode, Optional.of(sends), silent, probability, by);
  }
}
