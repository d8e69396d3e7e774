package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells how long ago a caller first asked: callers of a route mostly give the same time at first,
 * and what is left of it when they come back. Owner synchronizes.
 */
public final class CallerPatience {
  private static final int MAX_ROUTES = 1_024;

  /** Share by which times that count as the same may differ. */
  private static final double TOLERANCE = 0.03;

  /** Votes that a time can gather. */
  private static final double MAX_VOTES = 64;

  /** What another time takes from them: the times of those who come back differ. */
  private static final double OTHER_VOTE = 0.25;

  private static final class Usual {
    private long millis;
    private double votes;

    void vote(long stated) {
      if (Math.abs(stated - millis) <= TOLERANCE * millis) {
        votes = Math.min(MAX_VOTES, votes + 1);
        millis = Math.max(millis, stated);
        return;
      }
      votes -= OTHER_VOTE;
      if (votes <= 0) {
        millis = stated;
        votes = 1;
      }
    }
  }

  private final Map<String, Usual> byRoute = new HashMap<>();

  /**
   * Takes a request.
   *
   * @param statedMillis time that its caller gives
   * @return how long ago the caller first asked, milliseconds; 0 if nothing speaks for more
   */
  public long ageMillis(String route, long statedMillis) {
    if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
      byRoute.clear();
    }
    Usual usual = byRoute.computeIfAbsent(route, absent -> new Usual());
    usual.vote(statedMillis);
    long age = usual.millis - statedMillis;
    return age > TOLERANCE * usual.millis ? age : 0;
  }
}
