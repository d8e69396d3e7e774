package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class BackendLoadTest {
  @Test
  void decodesWhatItEncoded() {
    BackendLoad load =
        new BackendLoad(5, 2, 6, 61_250, 250, 15_000, 1_796_000_000_000L).withFailures(55);

    assertThat(BackendLoad.decode(load.encode())).isEqualTo(load);
  }

  @Test
  void decodesTheLoadOfUploads() {
    BackendLoad load =
        new BackendLoad(5, 2, 6, 61_250, 250, 15_000).withUploads(new UploadLoad(25, 48_000));

    assertThat(BackendLoad.decode(load.encode())).isEqualTo(load);
    assertThat(BackendLoad.decode("1,2,3,4,5,6,7,8").uploads()).isEqualTo(UploadLoad.NONE);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "1,2,3,4,5,6,7", "1,2,3,4,5,6,7,8,9", "a,2,3,4,5,6,7,8", "1,2,3,4,5,6,7,"})
  void decodesMalformedTextAsNull(String text) {
    assertThat(BackendLoad.decode(text)).isNull();
  }

  @Test
  void clampsTheFailurePercentage() {
    assertThat(BackendLoad.decode("1,2,3,4,100,6,7,900").failurePercent()).isEqualTo(100);
    assertThat(BackendLoad.decode("1,2,3,4,100,6,7,-5").failurePercent()).isZero();
  }
}
