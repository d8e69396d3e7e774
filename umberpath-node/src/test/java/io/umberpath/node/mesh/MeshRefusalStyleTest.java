package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class MeshRefusalStyleTest {
  @ParameterizedTest
  @CsvSource({
    "30, 0.03",
    "4, 0.00",
    "5, 0.01",
    "100, 0.10",
    "999, 1.00",
    "2046, 2.05",
    "12000, 12.00"
  })
  void retryAfterHasHundredthsOfASecond(long millis, String text) {
    assertThat(new MeshRefusalStyle().retryAfter(millis)).isEqualTo(text);
  }
}
