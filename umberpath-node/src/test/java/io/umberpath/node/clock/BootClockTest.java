package io.umberpath.node.clock;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class BootClockTest {
  @Test
  void itRisesWithTheSteadyClockWhileTheMachineIsNotSuspended() throws InterruptedException {
    BootClock clock = BootClock.open();
    assertThat(clock.source()).isEqualTo(BootClock.Source.BOOT_TIME);
    long steadyBefore = System.nanoTime();
    long before = clock.getAsLong();
    Thread.sleep(50);
    long after = clock.getAsLong();
    long steadyMillis = (System.nanoTime() - steadyBefore) / 1_000_000;

    assertThat(after - before).isBetween(49L, steadyMillis + 1);
  }
}
