package io.umberpath.node.mesh;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Takes changes from other nodes: as soon as one of the own zone is ahead where this node does not
 * read the store itself, and after a while where it does, since the store may refuse, throttle or
 * drop this node alone. Other zones come last, because their bytes cost. A transfer that takes long
 * is let run while another is begun: over a full link, packets of all nodes wait alike, and one
 * that is given up has to wait again.
 */
final class StatePuller implements AutoCloseable {
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

  /** How often this node looks whether it is behind, while it is, milliseconds. */
  static final long CHECK_MILLIS = 50;

  /** How long a transfer may take before another is begun beside it, milliseconds. */
  static final long PATIENCE_MILLIS = 500;

  /**
   * Bound of each step of a transfer, milliseconds: packets that wait for two seconds at a link are
   * of no use within the time in which a change is to be in force.
   */
  private static final int TIMEOUT_MILLIS = 2_000;

  private static final int MAX_TRANSFERS = 3;

  /** Nodes that one asks for facts alone: what it was given as seeds may be three that are down. */
  private static final int MAX_FACT_TRANSFERS = 3;

  /** Pause between two transfers while this node holds no configuration yet, milliseconds. */
  private static final long START_PAUSE_MILLIS = 200;

  private final MeshSettings settings;
  private final MeshState state;
  private final BooleanSupplier readsStore;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final Thread thread = new Thread(this::run, "umberpath-puller");
  private final ExecutorService workers = Executors.newCachedThreadPool(StatePuller::daemon);
  private volatile boolean closed;

  /** Whether changes of another node did not fit what this one holds. */
  private volatile boolean wantsWhole;

  /** The node that changes were last taken from; empty before the first. */
  private volatile String lastSource = "";

  private volatile boolean hasAsked;

  /** Whether another node has told what an older copy of the store may not show. */
  private volatile boolean hasFacts;

  /** Nodes asked for that alone, while this one held a state. */
  private int factTransfers;

  private final StateSources near = new StateSources();
  private final StateSources far = new StateSources();
  private volatile Predicate<String> isSilent = host -> false;
  private volatile Runnable takenListener = () -> {};
  private long behindSinceMillis = -1;
  private long nextTransferMillis;
  private int transfers;

  /** The source of the last transfer since this node is behind; null before the first. */
  private PeerAddress lastTried;

  StatePuller(
      MeshSettings settings,
      MeshState state,
      BooleanSupplier readsStore,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.state = state;
    this.readsStore = readsStore;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  private static Thread daemon(Runnable task) {
    Thread worker = new Thread(task, "umberpath-transfer");
    worker.setDaemon(true);
    return worker;
  }

  void start() {
    behindSinceMillis = clockMillis.getAsLong();
    thread.setDaemon(true);
    thread.start();
  }

  /** Whether another node has been asked, with whatever outcome. */
  boolean hasAsked() {
    return hasAsked;
  }

  /** Is told when something newer was taken from another node. */
  void onTaken(Runnable listener) {
    takenListener = listener;
  }

  /** Nodes that are not asked, since they are out of reach. */
  void avoid(Predicate<String> condition) {
    isSilent = condition;
  }

  /** Another node holds something newer. */
  synchronized void ahead(String host, boolean isNear, long version, StorePosition position) {
    if (behindSinceMillis < 0) {
      behindSinceMillis = clockMillis.getAsLong();
    }
    if (isNear) {
      near.state(host, version, position);
    } else {
      far.state(host, version, position);
    }
    notifyAll();
  }

  private void run() {
    while (!closed) {
      try {
        awaitBehind();
        step();
        Thread.sleep(CHECK_MILLIS);
      } catch (InterruptedException ended) {
        return;
      } catch (RuntimeException fault) {
        events.fault("state puller", fault);
      }
    }
  }

  private synchronized void awaitBehind() throws InterruptedException {
    while (behindSinceMillis < 0) {
      wait();
    }
  }

  /** Begins a transfer if this node is behind and one is due. */
  private synchronized void step() {
    MeshView view = state.view();
    long now = clockMillis.getAsLong();
    boolean isBehind = near.isAnyAhead(view) | far.isAnyAhead(view);
    if (view.isComplete() && !isBehind) {
      if (asksForFacts()) {
        factTransfers++;
        beginTransfer(now, seeds().get(0));
        return;
      }
      if (transfers == 0 || hasFacts) {
        behindSinceMillis = -1;
        beginAnew();
      }
      return;
    }
    List<PeerAddress> sources = sources(view, now - behindSinceMillis);
    if (sources.isEmpty() || now < nextTransferMillis || transfers == MAX_TRANSFERS) {
      return;
    }
    // One that does not answer must not take the turn of another that could.
    PeerAddress source =
        sources.stream().filter(each -> !each.equals(lastTried)).findFirst().orElse(sources.get(0));
    lastTried = source;
    near.asked(source.host());
    far.asked(source.host());
    beginTransfer(now, source);
  }

  private void beginTransfer(long nowMillis, PeerAddress source) {
    transfers++;
    nextTransferMillis = nowMillis + PATIENCE_MILLIS;
    workers.execute(() -> transfer(source));
  }

  /**
   * Whether a node that read the store by itself is to be told what an older copy may not show: by
   * one of the nodes that it was given, tried a few times.
   */
  private boolean asksForFacts() {
    return !hasFacts
        && !settings.isFirstStart()
        && !settings.otherSeeds().isEmpty()
        && factTransfers < MAX_FACT_TRANSFERS
        && transfers == 0
        && clockMillis.getAsLong() >= nextTransferMillis;
  }

  private List<PeerAddress> seeds() {
    List<PeerAddress> seeds = new ArrayList<>(settings.otherSeeds());
    Collections.shuffle(seeds, ThreadLocalRandom.current());
    return seeds;
  }

  private void transfer(PeerAddress source) {
    boolean taken = false;
    try {
      taken = pull(source);
      if (taken) {
        takenListener.run();
      }
    } finally {
      ended(taken);
    }
  }

  private synchronized void ended(boolean taken) {
    long now = clockMillis.getAsLong();
    transfers--;
    // Other nodes that start too hold nothing yet, and are asked again a little later.
    nextTransferMillis = state.view().isComplete() ? now : now + START_PAUSE_MILLIS;
    hasAsked = true;
    if (taken) {
      // The own zone delivers: what is newer still gets the whole time to come from there.
      nextTransferMillis = now + PAUSE_MILLIS;
      behindSinceMillis = now;
      beginAnew();
    }
  }

  /** All sources may be asked again. */
  private void beginAnew() {
    lastTried = null;
    near.beginAnew();
    far.beginAnew();
  }

  private List<PeerAddress> sources(MeshView view, long behindMillis) {
    boolean reads = readsStore.getAsBoolean();
    List<PeerAddress> sources = new ArrayList<>();
    if (behindMillis >= (reads ? READER_WAIT_MILLIS : 0)) {
      near.next(view, lastSource, isSilent).ifPresent(host -> sources.add(exchangeOf(host)));
    }
    if (behindMillis >= (reads ? READER_WAIT_MILLIS : OTHER_ZONE_WAIT_MILLIS)) {
      far.next(view, lastSource, isSilent).ifPresent(host -> sources.add(exchangeOf(host)));
    }
    if (!view.isComplete()) {
      sources.addAll(seeds());
    }
    return sources;
  }

  private PeerAddress exchangeOf(String host) {
    return new PeerAddress(host, settings.exchange().port());
  }

  private boolean pull(PeerAddress source) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(source.host(), source.port()), TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      StateRequest held = wantsWhole ? StateRequest.WHOLE : state.request();
      TransferRequest request = new TransferRequest(held, state.view().version(), !hasFacts);
      BufferedOutputStream out = new BufferedOutputStream(socket.getOutputStream());
      StateChangesCodec.write(request, out);
      out.flush();
      StateTransfer transfer =
          StateChangesCodec.read(new BufferedInputStream(socket.getInputStream()));
      MeshState.Adoption adoption = state.adopt(transfer, source.toString());
      hasFacts |= transfer.changes().at().isKnown();
      if (adoption == MeshState.Adoption.NOT_NEWER) {
        return false;
      }
      wantsWhole = adoption == MeshState.Adoption.UNFIT;
      if (wantsWhole) {
        throw new IOException("a patch does not fit the item that it is for");
      }
      lastSource = source.host();
      events.stateAdopted(source.toString(), state.view().version(), transfer);
      return true;
    } catch (IOException failure) {
      events.statePullFailed(source.toString(), failure);
      return false;
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    workers.shutdownNow();
  }
}
