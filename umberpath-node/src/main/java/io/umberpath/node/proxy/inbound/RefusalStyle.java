package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.VerdictHeader;

/** How a refusal is represented to the clients of a listener. Thread-safe. */
public interface RefusalStyle {
  /** The HTTP status for a verdict, which must not claim more than the verdict. */
  int status(Verdict verdict);

  /** Value of {@code Retry-After} for a time in milliseconds above 0. */
  String retryAfter(long millis);

  /** Uses the status of the reason, and whole seconds rounded up (RFC 9110, section 10.2.3). */
  RefusalStyle WHOLE_SECONDS =
      new RefusalStyle() {
        private static final long MILLIS_PER_SECOND = 1_000;

        @Override
        public int status(Verdict verdict) {
          return VerdictHeader.reasonOf(verdict).status();
        }

        @Override
        public String retryAfter(long millis) {
          return Long.toString(Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
        }
      };
}
