package io.umberpath.traffic.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The requests under which back ends ended, as far as this node knows: its own evidence and that of
 * the others, merged so that it does not matter in which order, how often and which way it comes.
 *
 * <p>All that a back end ran when it ended is suspected, since nobody can tell which of it was the
 * cause. A request is held, which keeps it from all back ends, once three have ended under it and
 * it ran to a good end nowhere: the cause is at each of the three, what only ran beside it seldom
 * is, and is cleared when it succeeds. Owner synchronizes.
 */
public final class SuspectLedger {
  /** Suspects remembered; some 200 bytes each. A back end that ends leaves as many as its slots. */
  private static final int MAX_SUSPECTS = 1_024;

  /**
   * A good end clears a request of the ends of back ends up to so long after it, milliseconds: of a
   * popular request that dies with all back ends of its service, another has just been served.
   */
  private static final long SUCCESS_MILLIS = 10_000;

  /** Ends from which on a good end is told to others; a single one decides nothing. */
  private static final int MARKS_WORTH_CLEARING = 2;

  /** Constants of the finalizer of SplitMix64, which spreads the bits of the digest's parts. */
  private static final long MIX_1 = 0xbf58476d1ce4e5b9L;

  private static final long MIX_2 = 0x94d049bb133111ebL;
  private static final int BITS = 31;

  private final Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
  private final RecentSuccesses successes = new RecentSuccesses();

  /**
   * A back end ended.
   *
   * @param backend id of that start of it
   * @param running the requests that it ran
   * @return what is to be told to the other nodes
   */
  public List<Suspicion> ended(
      long nowMillis, String backend, Collection<RequestFingerprint> running) {
    CrashMark mark = new CrashMark(backend.hashCode(), nowMillis, false);
    List<Suspicion> news = new ArrayList<>();
    for (RequestFingerprint request : running) {
      news.addAll(take(nowMillis, new Suspicion(request, List.of(mark))));
    }
    return news;
  }

  /**
   * A request ran to a good end on this node's back end.
   *
   * @return what is to be told to the other nodes
   */
  public Optional<Suspicion> succeeded(long nowMillis, RequestFingerprint request) {
    successes.add(nowMillis, request);
    Suspect suspect = suspects.get(request);
    return suspect == null ? Optional.empty() : clear(request, suspect, nowMillis);
  }

  private static Optional<Suspicion> clear(
      RequestFingerprint request, Suspect suspect, long untilMillis) {
    List<CrashMark> cleared =
        suspect.weight() < MARKS_WORTH_CLEARING ? List.of() : suspect.clear(untilMillis);
    return cleared.isEmpty() ? Optional.empty() : Optional.of(new Suspicion(request, cleared));
  }

  /**
   * Takes what another node tells.
   *
   * @return what of it is news, and what this node knows against it; empty if nothing is
   */
  public List<Suspicion> take(long nowMillis, Suspicion heard) {
    RequestFingerprint request = heard.request();
    Suspect suspect = suspects.getOrDefault(request, new Suspect());
    List<CrashMark> news = suspect.take(nowMillis, heard.marks());
    if (news.isEmpty()) {
      return List.of();
    }
    suspects.put(request, suspect);
    List<Suspicion> told = new ArrayList<>(List.of(new Suspicion(request, news)));
    if (successes.containsSince(suspect.lastMillis() - SUCCESS_MILLIS, request)) {
      clear(request, suspect, suspect.lastMillis()).ifPresent(told::add);
    }
    makeRoom();
    return told;
  }

  /** Those with the least against them go first, and of them those of longest ago. */
  private void makeRoom() {
    while (suspects.size() > MAX_SUSPECTS) {
      suspects.entrySet().stream()
          .min(
              Comparator.comparingInt(
                      (Map.Entry<RequestFingerprint, Suspect> each) -> each.getValue().weight())
                  .thenComparingLong(each -> each.getValue().lastMillis()))
          .ifPresent(least -> suspects.remove(least.getKey()));
    }
  }

  /** Whether a request is to be kept from all back ends. */
  public boolean isHeld(RequestFingerprint request) {
    Suspect suspect = suspects.get(request);
    return suspect != null && suspect.isHeld();
  }

  /** Ends of back ends that are held against a request. */
  public int weight(RequestFingerprint request) {
    Suspect suspect = suspects.get(request);
    return suspect == null ? 0 : suspect.weight();
  }

  /** Whether a request that is held may be tried once more. */
  public boolean isTrialDue(long nowMillis, RequestFingerprint request) {
    Suspect suspect = suspects.get(request);
    return suspect != null && suspect.isHeld() && suspect.isTrialDue(nowMillis);
  }

  /** A request that is held is tried once more. */
  public void beginTrial(long nowMillis, RequestFingerprint request) {
    suspects.get(request).beginTrial(nowMillis);
  }

  /** Targets of the requests that are held; see {@link RequestFingerprint#target}. */
  public Set<Long> heldTargets() {
    return suspects.entrySet().stream()
        .filter(each -> each.getValue().isHeld())
        .map(each -> each.getKey().target())
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Requests that are suspected. */
  public int size() {
    return suspects.size();
  }

  /** All that is known, for a node that knows less. */
  public List<Suspicion> all() {
    return suspects.entrySet().stream()
        .map(each -> new Suspicion(each.getKey(), each.getValue().marks()))
        .toList();
  }

  /** Drops what is too old to count. */
  public void forget(long nowMillis) {
    suspects.values().removeIf(suspect -> !suspect.forget(nowMillis));
  }

  /** The same on all nodes that know the same; 0 if nothing is known. */
  public long digest() {
    long digest = 0;
    for (Map.Entry<RequestFingerprint, Suspect> each : suspects.entrySet()) {
      for (CrashMark mark : each.getValue().marks()) {
        digest += digest(each.getKey(), mark);
      }
    }
    return digest;
  }

  private static long digest(RequestFingerprint request, CrashMark mark) {
    long mixed = request.target() * BITS + request.body();
    mixed = mixed * BITS + mark.crash();
    mixed = mixed * BITS + (mark.cleared() ? 1 : 2);
    mixed = (mixed ^ (mixed >>> 30)) * MIX_1;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_2;
    return mixed ^ (mixed >>> BITS);
  }
}
