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
 * Pulls changes from other nodes. A node that does not read the store pulls as soon as a node of
 * its zone is ahead. A reader does so after a delay, since the store may refuse, throttle or drop
 * this node alone. Other zones are the last choice, because traffic between zones is expensive. A
 * slow transfer continues while another one starts: over a saturated link the packets of all nodes
 * wait alike, and a transfer that is aborted has to wait again.
 */
final class StatePuller implements AutoCloseable {
  /** Time between checks for a due transfer while this node is behind, milliseconds. */
  static final long CHECK_INTERVAL_MILLIS = 50;

  /**
   * Timeout of connecting and of each read, milliseconds: packets that are queued for two seconds
   * at a link come too late for the time within which a change is to be in force.
   */
  static final int TIMEOUT_MILLIS = 2_000;

  private final MeshSettings settings;
  private final MeshState state;
  private final BooleanSupplier isReadingStore;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final SupervisedThread thread;
  private final ExecutorService workers =
      Executors.newCachedThreadPool(MeshTask.TRANSFER::newThread);

  /** Whether a patch of another node did not apply to an item of this one. */
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
    this.thread = new SupervisedThread(MeshTask.PULLER, this::step, events);
  }

  void start() {
    synchronized (this) {
      schedule.start(clockMillis.getAsLong());
    }
    thread.start();
  }

  /** Whether a transfer has ended, successfully or not. */
  boolean hasAttemptedTransfer() {
    return hasAttemptedTransfer;
  }

  /** Sets the nodes that are not asked because they are silent. */
  void excludeSources(Predicate<String> condition) {
    isSilent = condition;
  }

  /** Notifies of a node with a newer state. */
  synchronized void onNewerState(
      String host, boolean isNear, long version, StorePosition position) {
    schedule.recordNewerState(clockMillis.getAsLong(), host, isNear, version, position);
    notifyAll();
  }

  /**
   * For how long this node has been behind a reachable node without any progress, milliseconds; 0
   * if none has a newer state.
   */
  synchronized long stuckMillis(Predicate<String> isReachable) {
    if (!schedule.hasReachableNewer(state.view(), isReachable)) {
      return 0;
    }
    long nowMillis = clockMillis.getAsLong();
    return Math.min(schedule.behindMillis(nowMillis), state.sinceAdvanceMillis());
  }

  private void step() throws InterruptedException {
    awaitBehind();
    startDueTransfer();
    Thread.sleep(CHECK_INTERVAL_MILLIS);
  }

  private synchronized void awaitBehind() throws InterruptedException {
    while (!schedule.isActive()) {
      wait();
    }
  }

  /** Starts a transfer if one is due. */
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
    } catch (RuntimeException | Error fault) {
      events.fault(MeshTask.TRANSFER, fault);
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
    schedule.recordResponse(transfer.changes().position());
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
      events
          .transfers()
          .adopted(source.toString(), state.view().version(), transfer, times.adopted());
      return true;
    } catch (IOException failure) {
      events.transfers().pullFailed(source.toString(), failure, times);
      return false;
    }
  }

  private static StateTransfer read(Socket socket, TransferTimes.Stopwatch times)
      throws IOException {
    BufferedInputStream response = new BufferedInputStream(socket.getInputStream());
    response.mark(1);
    if (response.read() < 0) {
      throw new EOFException("no response");
    }
    times.responseStarted();
    response.reset();
    StateTransfer transfer = StateChangesCodec.read(response);
    times.responseRead();
    return transfer;
  }

  @Override
  public void close() {
    thread.close();
    workers.shutdownNow();
  }
}
