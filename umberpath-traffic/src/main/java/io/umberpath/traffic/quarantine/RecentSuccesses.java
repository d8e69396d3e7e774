package io.umberpath.traffic.quarantine;

/**
 * Requests that ran to a good end lately: a direct-mapped cache, so that its size is bounded
 * whatever comes; one that another took the place of is forgotten. Owner synchronizes.
 */
final class RecentSuccesses {
  /** Places, a power of two: ten seconds of a hundred requests a second, some 45 KiB when full. */
  private static final int CAPACITY = 1_024;

  private final RequestFingerprint[] requests = new RequestFingerprint[CAPACITY];
  private final long[] atMillis = new long[CAPACITY];

  void add(long nowMillis, RequestFingerprint request) {
    int index = index(request);
    requests[index] = request;
    atMillis[index] = nowMillis;
  }

  /** Whether the request ran to a good end at that time or later, as far as is still known. */
  boolean containsSince(long sinceMillis, RequestFingerprint request) {
    int index = index(request);
    return request.equals(requests[index]) && atMillis[index] >= sinceMillis;
  }

  private static int index(RequestFingerprint request) {
    return (int) (request.target() ^ request.body()) & (CAPACITY - 1);
  }
}
