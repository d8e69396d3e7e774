package io.umberpath.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Deterministic subsetting: selects the backends of a pool that one edge proxy uses, so that
 * connections do not grow with the fleet. Pure functions, equal on every node.
 *
 * <p>Rendezvous hashing: each edge proxy orders the backends by a hash of both ids and uses the
 * first {@link #size}. A backend that leaves affects only the edge proxies that used it; a smaller
 * subset is a prefix of a larger one.
 *
 * <p>Bound: with {@code n} edge proxies, {@code b} backends and subsets of {@code k}, the number of
 * edge proxies on one backend is binomial with mean {@code m = n k / b}. The size is the largest
 * for which {@code (m + 4 sqrt(m)) * connectionsPerEdge <= limit}; the true number is above {@code
 * m + 4 sqrt(m)} for about one backend in 30,000. The smallest size is {@link #MINIMUM}, since
 * without a second backend neither choice nor retry is possible; a fleet that is too large even for
 * this needs more backends. The node beside the backend, which alone connects to it, keeps to the
 * backend's own limit in any case.
 */
public final class Subsetting {
  /** Smallest subset, if the pool has that many backends. */
  public static final int MINIMUM = 2;

  private static final double STANDARD_DEVIATIONS = 4;

  private Subsetting() {}

  /**
   * Computes the size of the subset of each edge proxy.
   *
   * @param edges edge proxies that use the pool
   * @param backends backends of the pool
   * @param connectionsPerEdge connections of one edge proxy to the node of one backend
   * @param limit connections that the node of one backend should hold
   * @return between {@link #MINIMUM} and {@code backends}, or {@code backends} if that is smaller
   */
  public static int size(int edges, int backends, int connectionsPerEdge, int limit) {
    if (edges * (long) connectionsPerEdge <= limit) {
      return backends;
    }
    int size = backends - 1;
    while (size > MINIMUM && expectedMaximum(edges, backends, size) * connectionsPerEdge > limit) {
      size--;
    }
    return Math.min(backends, Math.max(size, MINIMUM));
  }

  /** Edge proxies on the busiest backend, by the bound above. */
  public static double expectedMaximum(int edges, int backends, int size) {
    double mean = (double) edges * size / backends;
    return Math.min(edges, mean + STANDARD_DEVIATIONS * Math.sqrt(mean));
  }

  /**
   * Orders backends by preference of one edge proxy.
   *
   * @param id function that returns the id of a backend
   */
  public static <T> List<T> order(String edgeId, List<T> backends, Function<T, String> id) {
    record Ranked<T>(long rank, T backend) {}
    List<Ranked<T>> ranked = new ArrayList<>(backends.size());
    for (T backend : backends) {
      ranked.add(new Ranked<>(SpreadHash.hash(edgeId, id.apply(backend)), backend));
    }
    ranked.sort(Comparator.comparingLong(Ranked::rank));
    return ranked.stream().map(Ranked::backend).toList();
  }
}
