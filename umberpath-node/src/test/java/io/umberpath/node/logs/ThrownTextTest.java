package io.umberpath.node.logs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

class ThrownTextTest {
  private static Throwable withFrames(Throwable thrown, int count) {
    StackTraceElement[] stack = new StackTraceElement[count];
    Arrays.setAll(stack, index -> new StackTraceElement("Place", "m" + index, "Place.java", 1));
    thrown.setStackTrace(stack);
    return thrown;
  }

  @Test
  void saysWhereAndHowItWasReached() {
    Throwable thrown = withFrames(new IllegalArgumentException("too far"), 2);

    assertThat(ThrownText.of(thrown))
        .isEqualTo(
            "java.lang.IllegalArgumentException: too far"
                + " at Place.m0(Place.java:1) at Place.m1(Place.java:1)");
  }

  @Test
  void boundsTheFramesAndSaysHowManyAreLeftOut() {
    Throwable thrown = withFrames(new IllegalStateException(), ThrownText.MAX_FRAMES + 7);

    assertThat(ThrownText.of(thrown))
        .contains("at Place.m" + (ThrownText.MAX_FRAMES - 1) + "(")
        .doesNotContain("Place.m" + ThrownText.MAX_FRAMES + "(")
        .endsWith(" and 7 more");
  }

  @Test
  void addsTheCauses() {
    Throwable cause = withFrames(new java.io.IOException("reset"), 1);
    Throwable thrown = withFrames(new IllegalStateException("failed", cause), 1);

    assertThat(ThrownText.of(thrown))
        .endsWith(", caused by java.io.IOException: reset at Place.m0(Place.java:1)");
  }

  @Test
  void endsWithACircleOfCauses() {
    Throwable first = withFrames(new IllegalStateException("first"), 1);
    Throwable second = withFrames(new IllegalStateException("second", first), 1);
    first.initCause(second);

    assertThat(ThrownText.of(first).split("caused by")).hasSize(ThrownText.MAX_CAUSES + 1);
  }
}
