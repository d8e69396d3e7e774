package io.umberpath.node.proxy.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class HttpDatesTest {
  private static final DateTimeFormatter JDK_FORMAT =
      DateTimeFormatter.ofPattern("EEE, dd MMM yyyy HH:mm:ss 'GMT'", Locale.ENGLISH)
          .withZone(ZoneOffset.UTC);

  @Test
  void formatsLikeTheJdkFormatter() {
    Random random = new Random(7);
    for (int index = 0; index < 2_000; index++) {
      long millis = (long) (random.nextDouble() * 4_102_444_800_000L);
      assertThat(HttpDates.of(millis)).isEqualTo(JDK_FORMAT.format(Instant.ofEpochMilli(millis)));
    }
  }
}
