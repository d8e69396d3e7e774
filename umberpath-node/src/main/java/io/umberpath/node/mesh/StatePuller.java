package io.umberpath.node.mesh;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
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
  /** How often this node looks whether it is behind, while it is, milliseconds. */
  static final long CHECK_INTERVAL_MILLIS = 50;

  /**
   * Bound of each step of a transfer, milliseconds: packets that wait for two seconds at a link are
   * of no use within the time in which a change is to be in force.
   */
  private static final int TIMEOUT_MILLIS = 2_000;

  private final MeshSettings settings;
  private final MeshState state;
  private final BooleanSupplier isReadingStore;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final Thread thread = new Thread(this::run, "umberpath-puller");
  private final ExecutorService workers = Executors.newCachedThreadPool(StatePuller::daemon);
  private volatile boolean closed;

  /** Whether changes of another node did not fit what this one holds. */
  private volatile boolean needsFullState;

  private volatile boolean hasAttemptedTransfer;

  /** Guarded by this object's lock. */
  private final TransferSchedule schedule;

  private volatile Predicate<String> isSilent = host -> false;

  StatePuller(
      MeshSettings settings,
      MeshState state,
      BooleanSupplier isReadingStore,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.state = state;
    this.isReadingStore = isReadingStore;
    this.events = events;
    this.clockMillis = clockMillis;
    this.schedule =
        new TransferSchedule(
            settings.otherSeeds(),
            settings.exchange().port(),
            settings.isFirstStart(),
            ThreadLocalRandom::current);
  }

  private static Thread daemon(Runnable task) {
    Thread worker = new Thread(task, "umberpath-transfer");
    worker.setDaemon(true);
    return worker;
  }

  void start() {
    synchronized (this) {
      schedule.start(clockMillis.getAsLong());
    }
    thread.setDaemon(true);
    thread.start();
  }

  /** Whether another node has been asked, with whatever outcome. */
  boolean hasAttemptedTransfer() {
    return hasAttemptedTransfer;
  }

  /** Nodes that are not asked, since they are out of reach. */
  void excludeSources(Predicate<String> condition) {
    isSilent = condition;
  }

  /** Another node holds something newer. */
  synchronized void onNewerState(
      String host, boolean isNear, long version, StorePosition position) {
    schedule.recordNewerState(clockMillis.getAsLong(), host, isNear, version, position);
    notifyAll();
  }

  private void run() {
    while (!closed) {
      try {
        awaitBehind();
        startDueTransfer();
        Thread.sleep(CHECK_INTERVAL_MILLIS);
      } catch (InterruptedException ended) {
        return;
      } catch (RuntimeException fault) {
        events.fault("state puller", fault);
      }
    }
  }

  private synchronized void awaitBehind() throws InterruptedException {
    while (!schedule.isActive()) {
      wait();
    }
  }

  /** Begins a transfer if one is due. */
  private synchronized void startDueTransfer() {
    schedule
        .nextSource(clockMillis.getAsLong(), state.view(), isReadingStore.getAsBoolean(), isSilent)
        .ifPresent(this::startTransfer);
  }

  private void startTransfer(PeerAddress source) {
    long behindMillis = schedule.behindMillis(clockMillis.getAsLong());
    workers.execute(() -> transfer(source, behindMillis));
  }

  private void transfer(PeerAddress source, long behindMillis) {
    boolean isAdopted = false;
    try {
      isAdopted = pull(source, new TransferTimes.Stopwatch(clockMillis, behindMillis));
    } finally {
      onTransferEnded(source, isAdopted);
    }
  }

  private synchronized void onTransferEnded(PeerAddress source, boolean isAdopted) {
    hasAttemptedTransfer = true;
    schedule.recordEnd(clockMillis.getAsLong(), state.view(), source, isAdopted);
  }

  private synchronized boolean wantsFacts() {
    return schedule.wantsFacts();
  }

  private synchronized void onResponse(StateTransfer transfer) {
    schedule.recordResponse(transfer.changes().at());
  }

  private boolean pull(PeerAddress source, TransferTimes.Stopwatch times) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(source.host(), source.port()), TIMEOUT_MILLIS);
      times.connected();
      socket.setSoTimeout(TIMEOUT_MILLIS);
      StateRequest held = needsFullState ? StateRequest.WHOLE : state.stateRequest();
      TransferRequest request = new TransferRequest(held, state.view().version(), wantsFacts());
      BufferedOutputStream out = new BufferedOutputStream(socket.getOutputStream());
      StateChangesCodec.write(request, out);
      out.flush();
      StateTransfer transfer = read(socket, times);
      MeshState.Adoption adoption = state.adopt(transfer, source.toString());
      onResponse(transfer);
      if (adoption == MeshState.Adoption.NOT_NEWER) {
        return false;
      }
      needsFullState = adoption == MeshState.Adoption.PATCH_MISMATCH;
      if (needsFullState) {
        throw new IOException("a patch does not fit the item that it is for");
      }
      events.stateAdopted(source.toString(), state.view().version(), transfer, times.adopted());
      return true;
    } catch (IOException failure) {
      events.statePullFailed(source.toString(), failure);
      return false;
    }
  }

  private static StateTransfer read(Socket socket, TransferTimes.Stopwatch times)
      throws IOException {
    BufferedInputStream response = new BufferedInputStream(socket.getInputStream());
    response.mark(1);
    if (response.read() < 0) {
      throw new EOFException("no answer");
    }
    times.responseStarted();
    response.reset();
    StateTransfer transfer = StateChangesCodec.read(response);
    times.responseRead();
    return transfer;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    workers.shutdownNow();
  }
}
