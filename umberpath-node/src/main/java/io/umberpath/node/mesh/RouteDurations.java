package io.umberpath.node.mesh;

import io.umberpath.traffic.routing.RouteAverages;
import java.util.OptionalLong;

/** How long requests of each route take from this node until their response. Thread-safe. */
final class RouteDurations {
  /** Requests of a route before its duration counts as known. */
  private static final int MIN_SAMPLES = 4;

  /** Deviations between the mean and the upper bound, as in TCP's retransmission timeout. */
  private static final int DEVIATIONS = 4;

  private final RouteAverages averages = new RouteAverages(MIN_SAMPLES);

  /** Records the duration of a request. */
  synchronized void record(String route, long millis) {
    averages.add(route, Math.max(1, millis));
  }

  /** Time within which nearly all requests of a route end, milliseconds; empty if not known. */
  synchronized OptionalLong upperBoundMillis(String route) {
    long bound = averages.upperEstimate(route, DEVIATIONS);
    return bound == 0 ? OptionalLong.empty() : OptionalLong.of(bound);
  }
}
