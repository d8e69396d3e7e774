package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.load.BackendNotice;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class BackendNoticesTest {
  private static final BackendStart START = new BackendStart("b", 1_000);
  private static final BackendStart LATER_START = new BackendStart("b", 2_000);

  private final BackendNotices notices = new BackendNotices();

  private static BackendNotice limit(long order, double perSecond) {
    return new BackendNotice(order, perSecond, false);
  }

  @Test
  void anOlderNoticeDoesNotReplaceANewerOne() {
    notices.merge(START, limit(5, 2.4));
    notices.merge(START, limit(4, 9));

    assertThat(notices.find(START)).isEqualTo(limit(5, 2.4));
    notices.merge(START, limit(6, BackendNotice.UNLIMITED));
    assertThat(notices.find(START).isLimited()).isFalse();
  }

  @Test
  void theEndHoldsWhateverIsReportedLater() {
    notices.merge(START, new BackendNotice(3, BackendNotice.UNLIMITED, true));
    notices.merge(START, limit(7, 2));

    assertThat(notices.isLeaving(START)).isTrue();
    assertThat(notices.isLeaving(LATER_START)).isFalse();
  }

  @Test
  void aNoticeBelongsToOneStart() {
    notices.merge(START, limit(9, 2.4));
    assertThat(notices.find(LATER_START)).isEqualTo(BackendNotice.NONE);

    notices.merge(LATER_START, limit(1, 7));
    assertThat(notices.find(LATER_START)).isEqualTo(limit(1, 7));
    notices.merge(START, limit(10, 1));
    assertThat(notices.find(LATER_START)).isEqualTo(limit(1, 7));
  }

  @Test
  void memoryIsBounded() {
    for (int id = 0; id < 10_000; id++) {
      notices.merge(new BackendStart("b" + id, 1), limit(1, 1));
    }

    assertThat(notices.find(new BackendStart("b0", 1))).isEqualTo(BackendNotice.NONE);
    assertThat(notices.find(new BackendStart("b9999", 1))).isEqualTo(limit(1, 1));
  }

  @Test
  void theHeaderIsDecodedAsItWasEncoded() {
    NoticeHeader limited = new NoticeHeader(1_700_000_000_000L, limit(3, 2.4), 120);
    NoticeHeader leaving =
        new NoticeHeader(0, new BackendNotice(1, BackendNotice.UNLIMITED, true), 0);

    assertThat(NoticeHeader.decode(limited.encode())).contains(limited);
    assertThat(NoticeHeader.decode(leaving.encode())).contains(leaving);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "1,2", "1,2,-4,0,0", "1,2,NaN,0,0", "x,2,3,0,0", "1,2,3,0,0,0"})
  void aMalformedHeaderIsIgnored(String text) {
    assertThat(NoticeHeader.decode(text)).isEmpty();
  }
}
