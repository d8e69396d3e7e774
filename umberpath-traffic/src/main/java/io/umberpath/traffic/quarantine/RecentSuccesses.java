package io.umberpath.traffic.quarantine;

/**
 * Requests that succeeded recently, in a direct-mapped cache of fixed size; a colliding request
 * replaces the older one. The owner synchronizes access.
 */
final class RecentSuccesses {
  /** Entries, a power of two: ten seconds of a hundred requests a second, some 45 KiB when full. */
  private static final int CAPACITY = 1_024;

  private final RequestFingerprint[] requests = new RequestFingerprint[CAPACITY];
  private final long[] atMillis = new long[CAPACITY];

  void add(long nowMillis, RequestFingerprint request) {
    int index = index(request);
    requests[index] = request;
    atMillis[index] = nowMillis;
  }

  /** Whether the request succeeded at that time or later, as far as the cache still holds it. */
  boolean containsSince(long sinceMillis, RequestFingerprint request) {
    int index = index(request);
    return request.equals(requests[index]) && atMillis[index] >= sinceMillis;
  }

  private static int index(RequestFingerprint request) {
    return (int) (request.target() ^ request.body()) & (CAPACITY - 1);
  }
}
