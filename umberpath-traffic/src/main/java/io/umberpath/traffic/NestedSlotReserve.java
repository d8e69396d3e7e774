package io.umberpath.traffic;

import java.util.HashSet;
import java.util.Set;

/**
 * Slots that are kept free for nested requests: as many as these hold on average. Slots that long
 * requests hold become free too rarely for short nested requests, however early these are in the
 * queue, and each of them keeps a slot of another service occupied while it waits. The owner
 * synchronizes access.
 */
final class NestedSlotReserve {
  /** Averaging time, milliseconds; a reserve that is no longer needed is given up within it. */
  private static final double AVERAGING_MILLIS = 1_000;

  private final Set<Long> running = new HashSet<>();
  private double meanRunning;
  private long updatedMillis;

  /** Records that a nested request has got a slot. */
  void recordStart(long nowMillis, long id) {
    update(nowMillis);
    running.add(id);
  }

  /** Records that a request no longer holds a slot. */
  void recordEnd(long nowMillis, long id) {
    update(nowMillis);
    running.remove(id);
  }

  private void update(long nowMillis) {
    double weight = 1 - Math.exp((updatedMillis - nowMillis) / AVERAGING_MILLIS);
    meanRunning += weight * (running.size() - meanRunning);
    updatedMillis = nowMillis;
  }

  /** Number of nested requests that hold a slot. */
  int running() {
    return running.size();
  }

  /** Slots that other requests may hold; at least one, so that they always proceed. */
  int slotsForOthers(long nowMillis, int slots) {
    update(nowMillis);
    return Math.max(1, slots - (int) Math.round(meanRunning));
  }
}
