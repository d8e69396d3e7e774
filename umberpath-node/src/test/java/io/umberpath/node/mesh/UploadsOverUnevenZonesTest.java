package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * 75 nodes in three zones upload to seven backends behind links of 10 Mbit/s. The zone that sends
 * most has the fewest links.
 */
final class UploadsOverUnevenZonesTest {
  /** Share of what the links carry that has to be served in time. */
  private static final double MIN_SHARE_OF_CAPACITY = 0.9;

  /**
   * Uploads of a zone waited for its links while those of other zones were idle, and in an overload
   * all of them were served late rather than some refused.
   *
   * @param load uploads offered, relative to what all links carry
   */
  @ParameterizedTest
  @CsvSource({
    "0.7, 1", "0.7, 2", "0.7, 3", "1.0, 1", "1.0, 2", "1.0, 3", "1.3, 1", "1.3, 2", "1.3, 3"
  })
  void uploadsThatTheLinksCarryAreInTime(double load, long seed) {
    UploadModel model = new UploadModel(load, seed);

    model.run();

    assertThat(model.inTimeShare())
        .as(model.describe())
        .isGreaterThanOrEqualTo(MIN_SHARE_OF_CAPACITY * Math.min(1, 1 / load));
  }
}
