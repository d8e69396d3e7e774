package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class LogRateLimiterTest {
  @Test
  void allowsMaxLinesPerSecondAndCountsDroppedLines() {
    LogRateLimiter limiter = new LogRateLimiter(2);

    assertThat(limiter.tryAcquire(100)).isTrue();
    assertThat(limiter.tryAcquire(200)).isTrue();
    assertThat(limiter.tryAcquire(300)).isFalse();
    assertThat(limiter.tryAcquire(1_100)).isTrue();

    assertThat(limiter.drainDropped()).isEqualTo(1);
    assertThat(limiter.drainDropped()).isZero();
  }
}
