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
 * When this node takes changes from another one, and from which: as soon as one of the own zone is
 * ahead where this node does not read the store, a little later where it does, and from other zones
 * last, because their bytes cost. Time and chance are given; owner synchronizes.
 */
final class TransferSchedule {
  /**
   * How long a node that reads the store waits for it before it takes changes from another,
   * milliseconds: the store answers its readers within some ten of each other, so that one that has
   * not been told by then hears nothing, or pauses, and a patch is smaller than the store's item.
   */
  static final long READER_WAIT_MILLIS = 150;

  /**
   * How long a node that does not read waits for its own zone before it goes to another one: a
   * reader there would have had its own wait, a transfer and a round of reports.
   */
  static final long OTHER_ZONE_WAIT_MILLIS = 800;

  /**
   * Pause between two transfers, in which quick successions of changes gather, milliseconds. A
   * configuration travels as a patch of some hundred bytes, so that the pause bounds connections
   * between nodes, not bytes; that a back end leaves must be known within 2 s.
   */
  static final long TRANSFER_PAUSE_MILLIS = 100;

  /** How long a transfer may take before another is begun beside it, milliseconds. */
  static final long SLOW_TRANSFER_MILLIS = 500;

  private static final int MAX_CONCURRENT_TRANSFERS = 3;

  /** Nodes that one asks for facts alone: what it was given as seeds may be three that are down. */
  private static final int MAX_FACT_REQUESTS = 3;

  /** Pause between two transfers while this node holds no configuration yet, milliseconds. */
  private static final long START_PAUSE_MILLIS = 200;

  private static final long UP_TO_DATE = -1;

  private final List<PeerAddress> seeds;
  private final int exchangePort;
  private final boolean isFirstStart;
  private final Supplier<Random> random;
  private final StateSources near;
  private final StateSources far;

  /** Since when this node is behind; {@link #UP_TO_DATE} while it is not. */
  private long behindSinceMillis = UP_TO_DATE;

  private long nextTransferMillis;
  private int activeTransfers;

  /** The node that changes were last taken from; empty before the first. */
  private String lastSource = "";

  /** The source of the last transfer since this node is behind; null before the first. */
  private PeerAddress lastTried;

  /** Whether another node has told what an older copy of the store may not show. */
  private boolean hasFacts;

  /** Nodes asked for that alone, while this one held a state. */
  private int factRequests;

  /**
   * Creates the schedule of a node that holds nothing.
   *
   * @param seeds nodes to ask while no other is known
   * @param exchangePort port at which nodes give their state
   * @param isFirstStart whether no other node holds anything yet
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

  /** The node starts: it is behind. */
  void start(long nowMillis) {
    behindSinceMillis = nowMillis;
  }

  /** Another node holds something newer. */
  void recordNewerState(
      long nowMillis, String host, boolean isNear, long version, StorePosition position) {
    if (!isActive()) {
      behindSinceMillis = nowMillis;
    }
    (isNear ? near : far).recordAdvertised(host, version, position);
  }

  /** Whether {@link #nextSource} may have something to do. */
  boolean isActive() {
    return behindSinceMillis != UP_TO_DATE;
  }

  /** For how long this node has been behind, milliseconds. */
  long behindMillis(long nowMillis) {
    return isActive() ? nowMillis - behindSinceMillis : 0;
  }

  /** Whether the next answer is to tell what an older copy of the store may not show. */
  boolean wantsFacts() {
    return !hasFacts;
  }

  /** The node to take changes from now, which counts as asked; empty if none is due. */
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
    // One that does not answer must not take the turn of another that could.
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
   * Whether a node that read the store by itself is to be told what an older copy may not show: by
   * one of the nodes that it was given, tried a few times.
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
      near.next(view, lastSource, isSilent).ifPresent(host -> sources.add(exchangeAddress(host)));
    }
    if (behindMillis >= (isReadingStore ? READER_WAIT_MILLIS : OTHER_ZONE_WAIT_MILLIS)) {
      far.next(view, lastSource, isSilent).ifPresent(host -> sources.add(exchangeAddress(host)));
    }
    if (!view.isComplete()) {
      sources.addAll(shuffledSeeds());
    }
    return sources;
  }

  private List<PeerAddress> shuffledSeeds() {
    List<PeerAddress> shuffled = new ArrayList<>(seeds);
    Collections.shuffle(shuffled, random.get());
    return shuffled;
  }

  private PeerAddress exchangeAddress(String host) {
    return new PeerAddress(host, exchangePort);
  }

  /** Another node has given what it holds. */
  void recordResponse(StorePosition sourcePosition) {
    hasFacts |= sourcePosition.isKnown();
  }

  /**
   * A transfer has ended.
   *
   * @param view what this node holds now
   * @param taken whether it brought something newer
   */
  void recordEnd(long nowMillis, MeshView view, PeerAddress source, boolean isAdopted) {
    activeTransfers--;
    // Other nodes that start too hold nothing yet, and are asked again a little later.
    nextTransferMillis = view.isComplete() ? nowMillis : nowMillis + START_PAUSE_MILLIS;
    if (isAdopted) {
      lastSource = source.host();
      // The own zone delivers: what is newer still gets the whole time to come from there.
      nextTransferMillis = nowMillis + TRANSFER_PAUSE_MILLIS;
      behindSinceMillis = nowMillis;
      resetTried();
    }
  }

  /** All sources may be asked again. */
  private void resetTried() {
    lastTried = null;
    near.resetTried();
    far.resetTried();
  }
}
