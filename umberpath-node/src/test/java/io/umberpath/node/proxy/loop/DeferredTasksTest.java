package io.umberpath.node.proxy.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** A thread that is slow: each step takes longer than a time slice. */
final class DeferredTasksTest {
  private static final long MILLI = 1_000_000;
  private static final long READ_NANOS = 12 * MILLI;
  private static final long BEGIN_NANOS = 30 * MILLI;
  private static final long REFUSE_NANOS = 9 * MILLI;
  private static final int REQUESTS_PER_ITERATION = 10;
  private static final int ITERATIONS = 100;

  private final DeferredTasks tasks =
      new DeferredTasks(() -> this.nowNanos, new Random(1), IterationListener.NONE);
  private long nowNanos;
  private int waiting;

  private final class SlowRequest implements NewRequest {
    @Override
    public void begin() {
      nowNanos += BEGIN_NANOS;
      waiting--;
    }

    @Override
    public void refuse(long waitedMillis) {
      nowNanos += REFUSE_NANOS;
      waiting--;
    }
  }

  private void iterate() {
    tasks.onIterationStart();
    long selectedNanos = nowNanos;
    for (int index = 0; index < REQUESTS_PER_ITERATION; index++) {
      nowNanos += READ_NANOS;
      tasks.add(new SlowRequest(), RequestOrigin.CLIENT);
      waiting++;
    }
    tasks.run(nowNanos - selectedNanos);
  }

  /** With one refusal in each time slice, overtaken requests waited until their deadlines. */
  @Test
  void overtakenRequestsAreRefusedAsFastAsRequestsAreRead() {
    for (int iteration = 0; iteration < ITERATIONS; iteration++) {
      iterate();
    }

    assertThat(waiting).isLessThan(3 * REQUESTS_PER_ITERATION);
  }
}
