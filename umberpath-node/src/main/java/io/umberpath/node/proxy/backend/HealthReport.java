package io.umberpath.node.proxy.backend;

import io.umberpath.model.ObservedBackend.Phase;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.inbound.Headers;
import java.util.Locale;
import java.util.Optional;
import org.glassfish.grizzly.http.util.Header;

/**
 * Health information from one response of a backend.
 *
 * @param status HTTP status
 * @param draining whether the backend reported that it is draining
 * @param retryAfterMillis time for which the backend asked to receive no requests; empty if it did
 *     not
 * @param body body text of the response, possibly truncated
 */
record HealthReport(int status, boolean draining, Optional<Long> retryAfterMillis, String body) {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Extracts the report from a response. */
  static HealthReport of(ResponseHead head, String body) {
    return new HealthReport(
        head.status(),
        head.field(ProxyHeaders.DRAINING).filter("true"::equalsIgnoreCase).isPresent(),
        head.field(Header.RetryAfter.toString())
            .flatMap(Headers::number)
            .map(seconds -> seconds * MILLIS_PER_SECOND),
        body);
  }

  /** The phase that a health probe's response indicates; empty if it indicates none. */
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

  /** Whether the backend is shedding load for a limited time. */
  boolean isShedding() {
    return status == SERVICE_UNAVAILABLE && retryAfterMillis.isPresent();
  }
}
