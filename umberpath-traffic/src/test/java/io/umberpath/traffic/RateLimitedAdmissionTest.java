package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Tier;
import io.umberpath.model.Verdict.Reason;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.AdmissionController.Decision.Admitted;
import io.umberpath.traffic.AdmissionController.Decision.Queued;
import io.umberpath.traffic.AdmissionController.Decision.Refused;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Admission control of a backend with many free slots and a limit of four requests per second. */
final class RateLimitedAdmissionTest {
  private static final long INTERVAL_MILLIS = 250;
  private static final long TARGET_MILLIS = 600;
  private static final long REFUSE_WITHIN_MILLIS = 130;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final long DUE_URGENT = 60;
  private static final long DUE_REGULAR = 600;

  private final RequestRateLimiter limiter = new RequestRateLimiter();
  private final AdmissionController controller =
      AdmissionControllers.createInDueOrder(
          new AdmissionSettings(100, 100, 4, 10_000, 20, 2_000), limiter);

  @BeforeEach
  void limit() {
    limiter.setRate(0, 4);
  }

  private static AdmissionRequest request(long id, long nowMillis, long dueInMillis) {
    return new AdmissionRequest(
        id,
        Long.toString(id),
        "",
        Tier.STANDARD,
        nowMillis + DEADLINE_MILLIS,
        10_000,
        10_000,
        DEADLINE_MILLIS,
        nowMillis + dueInMillis,
        nowMillis + TARGET_MILLIS,
        nowMillis + REFUSE_WITHIN_MILLIS,
        nowMillis + DEADLINE_MILLIS / 2,
        false);
  }

  private Decision submit(long id, long nowMillis, long dueInMillis) {
    return controller.submit(nowMillis, request(id, nowMillis, dueInMillis)).get(0);
  }

  @Test
  void whatFitsIsQueuedAndTheRestIsRefusedAtOnce() {
    assertThat(submit(1, 0, DUE_REGULAR)).isEqualTo(new Queued(1));
    assertThat(submit(2, 0, DUE_REGULAR)).isEqualTo(new Queued(2));
    assertThat(submit(3, 0, DUE_REGULAR)).isInstanceOf(Refused.class);

    assertThat(controller.tick(INTERVAL_MILLIS)).containsExactly(new Admitted(1));
    assertThat(controller.tick(2 * INTERVAL_MILLIS)).containsExactly(new Admitted(2));
  }

  /** A refused client that returns at its time finds a start that nobody else was told. */
  @Test
  void refusedClientsReturnOneAfterTheOther() {
    submit(1, 0, DUE_REGULAR);
    submit(2, 0, DUE_REGULAR);
    List<Long> retryAfter = new ArrayList<>();
    for (long id = 3; id < 8; id++) {
      Refused refused = (Refused) submit(id, 0, DUE_REGULAR);
      assertThat(refused.reason()).isEqualTo(Reason.OVERLOADED);
      retryAfter.add(refused.retryAfterMillis());
    }

    assertThat(retryAfter).containsExactly(750L, 1_000L, 1_250L, 1_500L, 1_750L);
  }

  /** A client that cannot return in time reserves nothing, or others would be told longer times. */
  @Test
  void aReturnAfterTheDeadlineIsNotReserved() {
    for (long id = 1; id < 50; id++) {
      submit(id, 0, DUE_REGULAR);
    }

    Refused last = (Refused) submit(50, 0, DUE_REGULAR);
    assertThat(last.retryAfterMillis())
        .isBetween(DEADLINE_MILLIS, DEADLINE_MILLIS + INTERVAL_MILLIS);
  }

  @Test
  void urgentRequestsGoFirst() {
    submit(1, 0, DUE_REGULAR);

    assertThat(submit(2, 0, DUE_URGENT)).isEqualTo(new Queued(2));

    assertThat(controller.tick(INTERVAL_MILLIS)).containsExactly(new Admitted(2));
  }

  /** It does not wait until its deadline for a start that more urgent requests will take. */
  @Test
  void aDisplacedRequestIsRefusedAsSoonAsItCannotBeInTime() {
    submit(1, 0, DUE_REGULAR);
    submit(2, 10, DUE_URGENT);
    List<Decision> decisions = controller.submit(20, request(3, 20, DUE_URGENT));

    assertThat(decisions).hasSize(2).contains(new Queued(3));
    assertThat(decisions.get(1)).isInstanceOf(Refused.class);
    assertThat(decisions.get(1).id()).isEqualTo(1);
  }

  @Test
  void theEndOfTheLimitAdmitsWhatIsQueued() {
    submit(1, 0, DUE_REGULAR);
    submit(2, 0, DUE_REGULAR);
    limiter.setRate(10, RequestRateLimiter.UNLIMITED);

    assertThat(controller.tick(50)).containsExactly(new Admitted(1), new Admitted(2));
  }
}
