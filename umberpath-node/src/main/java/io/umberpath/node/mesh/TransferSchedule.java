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
  static final long PAUSE_MILLIS = 100;

  /** How long a transfer may take before another is begun beside it, milliseconds. */
  static final long PATIENCE_MILLIS = 500;

  private static final int MAX_TRANSFERS = 3;

  /** Nodes that one asks for facts alone: what it was given as seeds may be three that are down. */
  private static final int MAX_FACT_TRANSFERS = 3;

  /** Pause between two transfers while this node holds no configuration yet, milliseconds. */
  private static final long START_PAUSE_MILLIS = 200;

  private static final long LEVEL = -1;

  private final List<PeerAddress> seeds;
  private final int exchangePort;
  private final boolean isFirstStart;
  private final Supplier<Random> random;
  private final StateSources near;
  private final StateSources far;

  /** Since when this node is behind; {@link #LEVEL} while it is not. */
  private long behindSinceMillis = LEVEL;

  private long nextTransferMillis;
  private int transfers;

  /** The node that changes were last taken from; empty before the first. */
  private String lastSource = "";

  /** The source of the last transfer since this node is behind; null before the first. */
  private PeerAddress lastTried;

  /** Whether another node has told what an older copy of the store may not show. */
  private boolean hasFacts;

  /** Nodes asked for that alone, while this one held a state. */
  private int factTransfers;

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
  void begin(long nowMillis) {
    behindSinceMillis = nowMillis;
  }

  /** Another node holds something newer. */
  void ahead(long nowMillis, String host, boolean isNear, long version, StorePosition position) {
    if (!isActive()) {
      behindSinceMillis = nowMillis;
    }
    (isNear ? near : far).state(host, version, position);
  }

  /** Whether {@link #next} may have something to do. */
  boolean isActive() {
    return behindSinceMillis != LEVEL;
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
  Optional<PeerAddress> next(
      long nowMillis, MeshView view, boolean readsStore, Predicate<String> isSilent) {
    boolean isBehind = near.isAnyAhead(view) | far.isAnyAhead(view);
    if (view.isComplete() && !isBehind) {
      return level(nowMillis);
    }
    List<PeerAddress> sources = sources(view, nowMillis - behindSinceMillis, readsStore, isSilent);
    if (sources.isEmpty() || nowMillis < nextTransferMillis || transfers == MAX_TRANSFERS) {
      return Optional.empty();
    }
    // One that does not answer must not take the turn of another that could.
    PeerAddress source =
        sources.stream().filter(each -> !each.equals(lastTried)).findFirst().orElse(sources.get(0));
    lastTried = source;
    near.asked(source.host());
    far.asked(source.host());
    return Optional.of(begun(nowMillis, source));
  }

  private Optional<PeerAddress> level(long nowMillis) {
    if (asksForFacts(nowMillis)) {
      factTransfers++;
      return Optional.of(begun(nowMillis, shuffledSeeds().get(0)));
    }
    if (transfers == 0 || hasFacts) {
      behindSinceMillis = LEVEL;
      beginAnew();
    }
    return Optional.empty();
  }

  /**
   * Whether a node that read the store by itself is to be told what an older copy may not show: by
   * one of the nodes that it was given, tried a few times.
   */
  private boolean asksForFacts(long nowMillis) {
    return !hasFacts
        && !isFirstStart
        && !seeds.isEmpty()
        && factTransfers < MAX_FACT_TRANSFERS
        && transfers == 0
        && nowMillis >= nextTransferMillis;
  }

  private PeerAddress begun(long nowMillis, PeerAddress source) {
    transfers++;
    nextTransferMillis = nowMillis + PATIENCE_MILLIS;
    return source;
  }

  private List<PeerAddress> sources(
      MeshView view, long behindMillis, boolean readsStore, Predicate<String> isSilent) {
    List<PeerAddress> sources = new ArrayList<>();
    if (behindMillis >= (readsStore ? READER_WAIT_MILLIS : 0)) {
      near.next(view, lastSource, isSilent).ifPresent(host -> sources.add(exchangeOf(host)));
    }
    if (behindMillis >= (readsStore ? READER_WAIT_MILLIS : OTHER_ZONE_WAIT_MILLIS)) {
      far.next(view, lastSource, isSilent).ifPresent(host -> sources.add(exchangeOf(host)));
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

  private PeerAddress exchangeOf(String host) {
    return new PeerAddress(host, exchangePort);
  }

  /** Another node has given what it holds. */
  void answered(StorePosition itsPosition) {
    hasFacts |= itsPosition.isKnown();
  }

  /**
   * A transfer has ended.
   *
   * @param view what this node holds now
   * @param taken whether it brought something newer
   */
  void ended(long nowMillis, MeshView view, PeerAddress source, boolean taken) {
    transfers--;
    // Other nodes that start too hold nothing yet, and are asked again a little later.
    nextTransferMillis = view.isComplete() ? nowMillis : nowMillis + START_PAUSE_MILLIS;
    if (taken) {
      lastSource = source.host();
      // The own zone delivers: what is newer still gets the whole time to come from there.
      nextTransferMillis = nowMillis + PAUSE_MILLIS;
      behindSinceMillis = nowMillis;
      beginAnew();
    }
  }

  /** All sources may be asked again. */
  private void beginAnew() {
    lastTried = null;
    near.beginAnew();
    far.beginAnew();
  }
}
