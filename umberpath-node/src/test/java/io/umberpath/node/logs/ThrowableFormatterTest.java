package io.umberpath.node.logs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

class ThrowableFormatterTest {
  private static Throwable withFrames(Throwable thrown, int count) {
    StackTraceElement[] stack = new StackTraceElement[count];
    Arrays.setAll(stack, index -> new StackTraceElement("Place", "m" + index, "Place.java", 1));
    thrown.setStackTrace(stack);
    return thrown;
  }

  @Test
  void containsMessageAndStackFrames() {
    Throwable thrown = withFrames(new IllegalArgumentException("too far"), 2);

    assertThat(ThrowableFormatter.format(thrown))
        .isEqualTo(
            "java.lang.IllegalArgumentException: too far"
                + " at Place.m0(Place.java:1) at Place.m1(Place.java:1)");
  }

  @Test
  void truncatesFramesAndCountsOmittedOnes() {
    Throwable thrown = withFrames(new IllegalStateException(), ThrowableFormatter.MAX_FRAMES + 7);

    assertThat(ThrowableFormatter.format(thrown))
        .contains("at Place.m" + (ThrowableFormatter.MAX_FRAMES - 1) + "(")
        .doesNotContain("Place.m" + ThrowableFormatter.MAX_FRAMES + "(")
        .endsWith(" and 7 more");
  }

  @Test
  void addsTheCauses() {
    Throwable cause = withFrames(new java.io.IOException("reset"), 1);
    Throwable thrown = withFrames(new IllegalStateException("failed", cause), 1);

    assertThat(ThrowableFormatter.format(thrown))
        .endsWith(", caused by java.io.IOException: reset at Place.m0(Place.java:1)");
  }

  @Test
  void stopsAtACycleOfCauses() {
    Throwable first = withFrames(new IllegalStateException("first"), 1);
    Throwable second = withFrames(new IllegalStateException("second", first), 1);
    first.initCause(second);

    assertThat(ThrowableFormatter.format(first).split("caused by"))
        .hasSize(ThrowableFormatter.MAX_CAUSES + 1);
  }
}
