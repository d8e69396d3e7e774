package io.umberpath.lab.cluster;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits for conditions. */
public final class Conditions {
  private static final long POLL_MILLIS = 50;

  private Conditions() {}

  /**
   * Polls until the condition holds.
   *
   * @param what named in the failure
   * @param bound generous; running into it means the condition will not come true
   * @throws TimeoutException if the condition does not hold within the bound
   */
  public static void await(String what, Duration bound, Callable<Boolean> condition)
      throws Exception {
    long deadlineNanos = System.nanoTime() + bound.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new TimeoutException(what + ": not within " + bound.toSeconds() + " s");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }
}
