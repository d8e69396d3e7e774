package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class GateLoadTest {
  @Test
  void decodesWhatItEncoded() {
    GateLoad load = new GateLoad(5, 2, 6, 61_250, 250, 15_000, 1_796_000_000_000L).withFailures(55);

    assertThat(GateLoad.decode(load.encode())).isEqualTo(load);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "1,2,3,4,5,6,7", "1,2,3,4,5,6,7,8,9", "a,2,3,4,5,6,7,8", "1,2,3,4,5,6,7,"})
  void decodesMalformedTextAsNull(String text) {
    assertThat(GateLoad.decode(text)).isNull();
  }

  @Test
  void clampsTheFailurePercentage() {
    assertThat(GateLoad.decode("1,2,3,4,100,6,7,900").failurePercent()).isEqualTo(100);
    assertThat(GateLoad.decode("1,2,3,4,100,6,7,-5").failurePercent()).isZero();
  }
}
