package io.umberpath.node.mesh;

import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Decides when this node pulls changes from another node, and from which: as soon as a node of its
 * zone is ahead if this node does not read the store, a little later if it does, and from other
 * zones last, because traffic between zones is expensive. Time and randomness are passed in. Not
 * thread-safe; the owner synchronizes.
 */
final class TransferSchedule {
  /**
   * How long a reader of the store waits for it before it pulls changes from another node,
   * milliseconds: the store notifies its readers within some ten milliseconds of each other. A
   * reader that has received nothing by then has a watch that hears nothing, or pauses between
   * calls, and a patch is smaller than the store's item.
   */
  static final long READER_WAIT_MILLIS = 150;

  /**
   * How long a node that does not read the store waits for its own zone before it asks another one,
   * milliseconds: enough for the wait of the zone's reader, a transfer and a round of reports.
   */
  static final long OTHER_ZONE_WAIT_MILLIS = 800;

  /**
   * Pause between two transfers, which batches changes in quick succession, milliseconds. A
   * configuration is transferred as a patch of some hundred bytes, so that the pause limits the
   * number of connections between nodes rather than bytes. The draining of a backend must be known
   * within 2 s.
   */
  static final long TRANSFER_PAUSE_MILLIS = 100;

  /** How long a transfer may take before another one starts in parallel, milliseconds. */
  static final long SLOW_TRANSFER_MILLIS = 500;

  private static final int MAX_CONCURRENT_TRANSFERS = 3;

  /**
   * Limit of the nodes asked for facts alone, since the given seeds, say three, may all be down.
   */
  private static final int MAX_FACT_REQUESTS = 3;

  /** Pause between two transfers while this node has no configuration, milliseconds. */
  private static final long START_PAUSE_MILLIS = 200;

  private static final long UP_TO_DATE = -1;

  private final List<PeerAddress> seeds;
  private final int exchangePort;
  private final boolean isFirstStart;
  private final Supplier<Random> random;
  private final StateSources near;
  private final StateSources far;

  /** When this node fell behind; {@link #UP_TO_DATE} while it is not behind. */
  private long behindSinceMillis = UP_TO_DATE;

  private long nextTransferMillis;
  private int activeTransfers;

  /** The host that changes were last pulled from; empty before the first. */
  private String lastSource = "";

  /** The last source asked since this node fell behind; null before the first. */
  private PeerAddress lastTried;

  /** Whether another node has sent the facts that an older copy of the store may lack. */
  private boolean hasFacts;

  /** Number of nodes asked for facts alone while this one had a state. */
  private int factRequests;

  /**
   * Creates the schedule of a node without a state.
   *
   * @param seeds nodes to ask while no other is known
   * @param exchangePort port on which nodes serve their state
   * @param isFirstStart whether no other node has a state yet
   */
  TransferSchedule(
      List<PeerAddress> seeds, int exchangePort, boolean isFirstStart, Supplier<Random> random) {
    this.seeds = List.copyOf(seeds);
    this.exchangePort = exchangePort;
    this.isFirstStart = isFirstStart;
    this.random = random;
    this.near = new StateSources(random);
    this.far = new StateSources(random);
  }

  /** Marks this node as behind when it starts. */
  void start(long nowMillis) {
    behindSinceMillis = nowMillis;
  }

  /** Records a node with a newer state. */
  void recordNewerState(
      long nowMillis, String host, boolean isNear, long version, StorePosition position) {
    if (!isActive()) {
      behindSinceMillis = nowMillis;
    }
    (isNear ? near : far).recordAdvertised(host, version, position);
  }

  /** Whether {@link #nextSource} may return a source. */
  boolean isActive() {
    return behindSinceMillis != UP_TO_DATE;
  }

  /** For how long this node has been behind, milliseconds. */
  long behindMillis(long nowMillis) {
    return isActive() ? nowMillis - behindSinceMillis : 0;
  }

  /** Whether a reachable node has a newer state. */
  boolean hasReachableNewer(MeshView view, Predicate<String> isReachable) {
    return near.hasReachableNewer(view, isReachable) || far.hasReachableNewer(view, isReachable);
  }

  /** Whether the next request is to ask for facts that an older copy of the store may lack. */
  boolean wantsFacts() {
    return !hasFacts;
  }

  /** The node to pull changes from now, which is marked as asked; empty if none is due. */
  Optional<PeerAddress> nextSource(
      long nowMillis, MeshView view, boolean isReadingStore, Predicate<String> isSilent) {
    boolean isBehind = near.hasNewer(view) | far.hasNewer(view);
    if (view.isComplete() && !isBehind) {
      return nextWhenUpToDate(nowMillis);
    }
    List<PeerAddress> sources =
        eligibleSources(view, nowMillis - behindSinceMillis, isReadingStore, isSilent);
    if (sources.isEmpty()
        || nowMillis < nextTransferMillis
        || activeTransfers == MAX_CONCURRENT_TRANSFERS) {
      return Optional.empty();
    }
    // A source that does not respond must not delay another one that could.
    PeerAddress source =
        sources.stream()
            .filter(candidate -> !candidate.equals(lastTried))
            .findFirst()
            .orElse(sources.get(0));
    lastTried = source;
    near.markTried(source.host());
    far.markTried(source.host());
    return Optional.of(recordStart(nowMillis, source));
  }

  private Optional<PeerAddress> nextWhenUpToDate(long nowMillis) {
    if (shouldRequestFacts(nowMillis)) {
      factRequests++;
      return Optional.of(recordStart(nowMillis, shuffledSeeds().get(0)));
    }
    if (activeTransfers == 0 || hasFacts) {
      behindSinceMillis = UP_TO_DATE;
      resetTried();
    }
    return Optional.empty();
  }

  /**
   * Whether a node that read the store by itself should ask a seed for the facts that an older copy
   * of the store may lack; tried a few times.
   */
  private boolean shouldRequestFacts(long nowMillis) {
    return !hasFacts
        && !isFirstStart
        && !seeds.isEmpty()
        && factRequests < MAX_FACT_REQUESTS
        && activeTransfers == 0
        && nowMillis >= nextTransferMillis;
  }

  private PeerAddress recordStart(long nowMillis, PeerAddress source) {
    activeTransfers++;
    nextTransferMillis = nowMillis + SLOW_TRANSFER_MILLIS;
    return source;
  }

  private List<PeerAddress> eligibleSources(
      MeshView view, long behindMillis, boolean isReadingStore, Predicate<String> isSilent) {
    List<PeerAddress> sources = new ArrayList<>();
    if (behindMillis >= (isReadingStore ? READER_WAIT_MILLIS : 0)) {
      near.nextHost(view, lastSource, isSilent)
          .ifPresent(host -> sources.add(exchangeAddress(host)));
    }
    if (behindMillis >= (isReadingStore ? READER_WAIT_MILLIS : OTHER_ZONE_WAIT_MILLIS)) {
      far.nextHost(view, lastSource, isSilent)
          .ifPresent(host -> sources.add(isFarNext() ? 0 : sources.size(), exchangeAddress(host)));
    }
    if (!view.isComplete()) {
      sources.addAll(shuffledSeeds());
    }
    return sources;
  }

  /**
   * Whether it is the turn of the other zones: what keeps one node of this zone from responding may
   * concern all of it, and few transfers run at a time.
   */
  private boolean isFarNext() {
    return lastTried != null && near.contains(lastTried.host());
  }

  private List<PeerAddress> shuffledSeeds() {
    List<PeerAddress> shuffled = new ArrayList<>(seeds);
    Collections.shuffle(shuffled, random.get());
    return shuffled;
  }

  private PeerAddress exchangeAddress(String host) {
    return new PeerAddress(host, exchangePort);
  }

  /** Records a response; the source may itself be without a state. */
  void recordResponse(StorePosition sourcePosition) {
    hasFacts |= sourcePosition.isKnown();
  }

  /**
   * Records the end of a transfer.
   *
   * @param view the current view of this node
   * @param isAdopted whether it brought something newer
   */
  void recordEnd(long nowMillis, MeshView view, PeerAddress source, boolean isAdopted) {
    activeTransfers--;
    // Other starting nodes have no state yet and are asked again a little later.
    nextTransferMillis = view.isComplete() ? nowMillis : nowMillis + START_PAUSE_MILLIS;
    if (isAdopted) {
      lastSource = source.host();
      // The wait for the own zone restarts, since it delivers.
      nextTransferMillis = nowMillis + TRANSFER_PAUSE_MILLIS;
      behindSinceMillis = nowMillis;
      resetTried();
    }
  }

  /** Lets all sources be asked again. */
  private void resetTried() {
    lastTried = null;
    near.resetTried();
    far.resetTried();
  }
}
