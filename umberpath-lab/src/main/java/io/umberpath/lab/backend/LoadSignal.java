package io.umberpath.lab.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/** What the health and load endpoints say: samples that lag and may mislead. Thread-safe. */
final class LoadSignal {
  private static final long KEPT_MILLIS = 60_000;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private final int slots;
  private SignalMode mode = SignalMode.HONEST;
  private long lagMillis;

  /**
   * State of a back end at one moment.
   *
   * @param atMillis when
   * @param running requests that had a slot
   * @param waiting requests that waited for one
   * @param draining whether it was leaving
   */
  record Sample(long atMillis, int running, int waiting, boolean draining) {}

  LoadSignal(int slots) {
    this.slots = slots;
  }

  synchronized void distort(SignalMode newMode, long newLagMillis) {
    mode = newMode;
    lagMillis = newLagMillis;
  }

  synchronized void observe(Sample sample) {
    samples.addLast(sample);
    while (samples.getFirst().atMillis() < sample.atMillis() - KEPT_MILLIS) {
      samples.removeFirst();
    }
  }

  synchronized Sample reported(long nowMillis) {
    Sample truth = samples.getFirst();
    for (Sample sample : samples) {
      if (sample.atMillis() <= nowMillis - lagMillis) {
        truth = sample;
      }
    }
    return switch (mode) {
      case HONEST -> truth;
      case ALWAYS_IDLE -> new Sample(truth.atMillis(), 0, 0, false);
      case INVERTED -> new Sample(truth.atMillis(), slots - truth.running(), 0, truth.draining());
    };
  }
}
