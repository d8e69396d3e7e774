package io.umberpath.node.clock;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class BootClockTest {
  private long steady = 40_000;
  private long boot = 90_000;
  private int bootClockReads;

  private BootClock clock() {
    return new BootClock(BootClock.Source.BOOT_TIME, () -> steady, this::readBootClock);
  }

  private long readBootClock() {
    bootClockReads++;
    return boot;
  }

  private void advance(long millis) {
    steady += millis;
    boot += millis;
  }

  @Test
  void followsTheMonotonicClockWhileTheMachineIsNotSuspended() throws InterruptedException {
    BootClock clock = BootClock.open();
    assertThat(clock.source()).isEqualTo(BootClock.Source.BOOT_TIME);
    long steadyBefore = System.nanoTime();
    long before = clock.getAsLong();
    Thread.sleep(50);
    long after = clock.getAsLong();
    long steadyMillis = (System.nanoTime() - steadyBefore) / 1_000_000;

    assertThat(after - before).isBetween(49L, steadyMillis + 1);
  }

  @ParameterizedTest
  @ValueSource(longs = {30, 1_000, 3_000, 10_000})
  void suspensionIsCountedAfterAFewMilliseconds(long suspended) {
    BootClock clock = clock();
    long before = clock.getAsLong();
    // The monotonic clock stops.
    boot += suspended;
    advance(5);

    assertThat(clock.getAsLong() - before).isEqualTo(suspended + 5);
    advance(100);
    assertThat(clock.getAsLong() - before).isEqualTo(suspended + 105);
  }

  @Test
  void roundingDifferencesOfTheTwoClocksAreIgnored() {
    BootClock clock = clock();
    long last = clock.getAsLong();
    for (int step = 0; step < 100; step++) {
      steady += 7;
      boot += step % 2 == 0 ? 6 : 8;
      long now = clock.getAsLong();
      assertThat(now - last).isEqualTo(7);
      last = now;
    }
  }

  @Test
  void bootClockIsReadOncePerInterval() {
    BootClock clock = clock();
    for (int call = 0; call < 1_000; call++) {
      clock.getAsLong();
    }
    assertThat(bootClockReads).isEqualTo(1);
    advance(5);
    clock.getAsLong();
    clock.getAsLong();
    assertThat(bootClockReads).isEqualTo(2);
  }
}
