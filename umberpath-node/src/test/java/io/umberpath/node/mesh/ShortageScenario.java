package io.umberpath.node.mesh;

import java.util.List;

/**
 * Trouble between two calm times.
 *
 * @param load requests of clients offered in calm times, relative to the room
 * @param troubleLoad the same during the trouble
 * @param backends backends that are slow, or lost, during the trouble
 * @param slowFactor factor by which these are slower; 1 if they are lost
 * @param troubleMillis how long the trouble lasts
 */
record ShortageScenario(
    double load,
    double troubleLoad,
    List<String> backends,
    double slowFactor,
    long troubleMillis,
    long seed,
    boolean isPrinted) {
  /** Calm time before the trouble. */
  private static final long START_MILLIS = 8_000;

  /** Time after a lost backend has started again in which it is still slow. */
  private static final long WARMUP_MILLIS = 3_000;

  private static final long CALM_END_MILLIS = 10_000;

  static ShortageScenario burst(double troubleLoad, long seed) {
    return new ShortageScenario(0.8, troubleLoad, List.of(), 1, 8_000, seed, false);
  }

  static ShortageScenario slow(List<String> backends, long seed) {
    return new ShortageScenario(0.8, 0.8, backends, 12, 8_000, seed, false);
  }

  static ShortageScenario lost(List<String> backends, long seed) {
    return new ShortageScenario(0.8, 0.8, backends, 1, 8_000, seed, false);
  }

  ShortageScenario printed() {
    return new ShortageScenario(load, troubleLoad, backends, slowFactor, troubleMillis, seed, true);
  }

  long troubleStartMillis() {
    return START_MILLIS;
  }

  long troubleEndMillis() {
    return START_MILLIS + troubleMillis;
  }

  /** End of the trouble, that of backends which start again included. */
  long causeEndMillis() {
    boolean hasRestarts = !backends.isEmpty() && slowFactor <= 1;
    return troubleEndMillis() + (hasRestarts ? WARMUP_MILLIS : 0);
  }

  long endMillis() {
    return causeEndMillis() + CALM_END_MILLIS;
  }

  double loadAt(double millis) {
    return millis >= troubleStartMillis() && millis < troubleEndMillis() ? troubleLoad : load;
  }
}
