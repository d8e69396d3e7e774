package io.umberpath.traffic.routing;

import io.umberpath.model.routing.BackendEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Selects the candidates that are compared for a request: all backends of a small service;
 * otherwise those of the local zone first, as they are the cheapest to reach, and some of the
 * others, starting at a random one.
 */
final class CandidateSampler {
  /**
   * Upper bound on the compared candidates, so that the cost of a choice does not grow with the
   * service.
   */
  private static final int MAX_CANDIDATES = 24;

  /** Candidates of other zones that are compared even if the local zone has many. */
  private static final int MIN_REMOTE_CANDIDATES = 8;

  /** Candidates drawn from each group: the power of two choices needs no more. */
  private static final int CHOICES = 2;

  private final String zone;

  /**
   * Creates a sampler.
   *
   * @param zone zone of this node
   */
  CandidateSampler(String zone) {
    this.zone = zone;
  }

  /**
   * Takes a sample, local zone first.
   *
   * @param allowed filter of the candidates
   * @param random random number from 0 to 1
   */
  List<BackendEntry> sample(
      List<BackendEntry> candidates, Predicate<BackendEntry> allowed, double random) {
    int size = candidates.size();
    int first = comparesAll(size) ? 0 : (int) (random * size) % size;
    List<BackendEntry> local = new ArrayList<>();
    List<BackendEntry> remote = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      BackendEntry candidate = candidates.get((first + index) % size);
      if (allowed.test(candidate)) {
        (isLocal(candidate) ? local : remote).add(candidate);
      }
    }
    int localCount = Math.min(local.size(), MAX_CANDIDATES - MIN_REMOTE_CANDIDATES);
    int remoteCount = Math.min(remote.size(), MAX_CANDIDATES - localCount);
    localCount = Math.min(local.size(), MAX_CANDIDATES - remoteCount);
    List<BackendEntry> sample = new ArrayList<>(local.subList(0, localCount));
    sample.addAll(remote.subList(0, remoteCount));
    return sample;
  }

  /**
   * Draws two random candidates of the local zone and two of the others; fewer if there are no
   * more.
   */
  List<BackendEntry> drawChoices(List<BackendEntry> sample, DoubleSupplier random) {
    int localCount = 0;
    while (localCount < sample.size() && isLocal(sample.get(localCount))) {
      localCount++;
    }
    List<BackendEntry> drawn = new ArrayList<>(2 * CHOICES);
    drawTwo(sample.subList(0, localCount), random, drawn);
    drawTwo(sample.subList(localCount, sample.size()), random, drawn);
    return drawn;
  }

  private static void drawTwo(
      List<BackendEntry> from, DoubleSupplier random, List<BackendEntry> drawn) {
    int size = from.size();
    if (size <= CHOICES) {
      drawn.addAll(from);
      return;
    }
    int first = (int) (random.getAsDouble() * size) % size;
    int step = 1 + (int) (random.getAsDouble() * (size - 1)) % (size - 1);
    drawn.add(from.get(first));
    drawn.add(from.get((first + step) % size));
  }

  /** Whether that many candidates are all compared, so that no random number is needed. */
  static boolean comparesAll(int candidateCount) {
    return candidateCount <= MAX_CANDIDATES;
  }

  /** Whether a backend is in the zone of this node. */
  boolean isLocal(BackendEntry candidate) {
    return candidate.zone().equals(zone);
  }
}
