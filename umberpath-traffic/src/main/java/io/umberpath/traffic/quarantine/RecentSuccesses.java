package io.umberpath.traffic.quarantine;

/**
 * Requests that ran to a good end lately: a direct-mapped cache, so that its size is bounded
 * whatever comes; one that another took the place of is forgotten. Owner synchronizes.
 */
final class RecentSuccesses {
  /** Places, a power of two: ten seconds of a hundred requests a second, some 45 KiB when full. */
  private static final int PLACES = 1_024;

  private final RequestFingerprint[] requests = new RequestFingerprint[PLACES];
  private final long[] atMillis = new long[PLACES];

  void add(long nowMillis, RequestFingerprint request) {
    int place = place(request);
    requests[place] = request;
    atMillis[place] = nowMillis;
  }

  /** Whether the request ran to a good end at that time or later, as far as is still known. */
  boolean containsSince(long sinceMillis, RequestFingerprint request) {
    int place = place(request);
    return request.equals(requests[place]) && atMillis[place] >= sinceMillis;
  }

  private static int place(RequestFingerprint request) {
    return (int) (request.target() ^ request.body()) & (PLACES - 1);
  }
}
