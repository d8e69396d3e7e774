package io.umberpath.traffic.load;

import io.umberpath.traffic.RequestRateLimiter;

/**
 * What a backend has announced in the heads of its responses; it applies to one start of the
 * backend.
 *
 * @param order position among the notices of that start; a higher one is newer
 * @param requestsPerSecond most requests that it accepts from all nodes together, at least 0;
 *     {@link #UNLIMITED} if it announced no limit
 * @param isLeaving whether it announced its end; it never takes that back
 */
public record BackendNotice(long order, double requestsPerSecond, boolean isLeaving) {
  /** No limit on the request rate. */
  public static final double UNLIMITED = RequestRateLimiter.UNLIMITED;

  /** A backend that has announced nothing. */
  public static final BackendNotice NONE = new BackendNotice(0, UNLIMITED, false);

  /**
   * Combines two notices about the same start: the limit of the newer one, the end of either. Of
   * the same order, which two processes may have given out, the lower limit counts.
   */
  public BackendNotice merge(BackendNotice other) {
    double lower = Math.min(requestsPerSecond, other.requestsPerSecond);
    double newer = other.order > order ? other.requestsPerSecond : requestsPerSecond;
    return new BackendNotice(
        Math.max(order, other.order),
        order == other.order ? lower : newer,
        isLeaving || other.isLeaving);
  }

  /** Whether the announcements are the same, whatever their order. */
  public boolean announcesSame(BackendNotice other) {
    return requestsPerSecond == other.requestsPerSecond && isLeaving == other.isLeaving;
  }

  /** Whether a limit on the request rate is announced. */
  public boolean isLimited() {
    return requestsPerSecond != UNLIMITED;
  }
}
