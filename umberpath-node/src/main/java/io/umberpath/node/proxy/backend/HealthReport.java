package io.umberpath.node.proxy.backend;

import io.umberpath.model.ObservedBackend.Phase;
import java.util.Locale;
import java.util.Optional;

/**
 * What a back end said in one answer.
 *
 * @param status HTTP status
 * @param draining whether it said that it is leaving
 * @param retryAfterMillis how long it asked to be left alone; empty if it did not
 * @param body text of the answer, possibly shortened
 */
record HealthReport(int status, boolean draining, Optional<Long> retryAfterMillis, String body) {
  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** The phase that an answer to a health probe stands for; empty if it proves nothing. */
  Optional<Phase> phase() {
    String text = body.toLowerCase(Locale.ROOT);
    if (draining || text.contains("draining")) {
      return Optional.of(Phase.DRAINING);
    }
    if (text.contains("warming")) {
      return Optional.of(Phase.WARMING);
    }
    boolean healthy = status >= OK && status < MULTIPLE_CHOICES;
    return healthy ? Optional.of(Phase.READY) : Optional.empty();
  }

  /** Whether it refuses work for a while. */
  boolean isShedding() {
    return status == SERVICE_UNAVAILABLE && retryAfterMillis.isPresent();
  }
}
