package io.umberpath.node.proxy.backend;

import io.umberpath.model.ObservedBackend.Phase;
import io.umberpath.node.proxy.http.AnswerHead;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.inbound.Headers;
import java.util.Locale;
import java.util.Optional;
import org.glassfish.grizzly.http.util.Header;

/**
 * What a back end said in one answer.
 *
 * @param status HTTP status
 * @param draining whether it said that it is leaving
 * @param retryAfterMillis how long it asked to be left alone; empty if it did not
 * @param body text of the answer, possibly shortened
 */
record HealthReport(int status, boolean draining, Optional<Long> retryAfterMillis, String body) {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Reads an answer. */
  static HealthReport of(AnswerHead head, String body) {
    return new HealthReport(
        head.status(),
        head.field(ProxyHeaders.DRAINING).filter("true"::equalsIgnoreCase).isPresent(),
        head.field(Header.RetryAfter.toString())
            .flatMap(Headers::number)
            .map(seconds -> seconds * MILLIS_PER_SECOND),
        body);
  }

  /** The phase that an answer to a health probe stands for; empty if it proves nothing. */
  Optional<Phase> phase() {
    String text = body.toLowerCase(Locale.ROOT);
    if (draining || text.contains("draining")) {
      return Optional.of(Phase.DRAINING);
    }
    if (text.contains("warming")) {
      return Optional.of(Phase.WARMING);
    }
    boolean isHealthy = status >= OK && status < MULTIPLE_CHOICES;
    return isHealthy ? Optional.of(Phase.READY) : Optional.empty();
  }

  /** Whether it refuses work for a while. */
  boolean isShedding() {
    return status == SERVICE_UNAVAILABLE && retryAfterMillis.isPresent();
  }
}
