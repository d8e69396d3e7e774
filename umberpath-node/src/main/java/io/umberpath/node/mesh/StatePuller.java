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
  static final long CHECK_MILLIS = 50;

  /**
   * Bound of each step of a transfer, milliseconds: packets that wait for two seconds at a link are
   * of no use within the time in which a change is to be in force.
   */
  private static final int TIMEOUT_MILLIS = 2_000;

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

  private volatile boolean hasAsked;

  /** Guarded by this object's lock. */
  private final TransferSchedule schedule;

  private volatile Predicate<String> isSilent = host -> false;

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
      schedule.begin(clockMillis.getAsLong());
    }
    thread.setDaemon(true);
    thread.start();
  }

  /** Whether another node has been asked, with whatever outcome. */
  boolean hasAsked() {
    return hasAsked;
  }

  /** Nodes that are not asked, since they are out of reach. */
  void avoid(Predicate<String> condition) {
    isSilent = condition;
  }

  /** Another node holds something newer. */
  synchronized void ahead(String host, boolean isNear, long version, StorePosition position) {
    schedule.ahead(clockMillis.getAsLong(), host, isNear, version, position);
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
    while (!schedule.isActive()) {
      wait();
    }
  }

  /** Begins a transfer if one is due. */
  private synchronized void step() {
    schedule
        .next(clockMillis.getAsLong(), state.view(), readsStore.getAsBoolean(), isSilent)
        .ifPresent(this::begin);
  }

  private void begin(PeerAddress source) {
    long behindMillis = schedule.behindMillis(clockMillis.getAsLong());
    workers.execute(() -> transfer(source, behindMillis));
  }

  private void transfer(PeerAddress source, long behindMillis) {
    boolean taken = false;
    try {
      taken = pull(source, new TransferTimes.Clock(clockMillis, behindMillis));
    } finally {
      ended(source, taken);
    }
  }

  private synchronized void ended(PeerAddress source, boolean taken) {
    hasAsked = true;
    schedule.ended(clockMillis.getAsLong(), state.view(), source, taken);
  }

  private synchronized boolean wantsFacts() {
    return schedule.wantsFacts();
  }

  private synchronized void answered(StateTransfer transfer) {
    schedule.answered(transfer.changes().at());
  }

  private boolean pull(PeerAddress source, TransferTimes.Clock times) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(source.host(), source.port()), TIMEOUT_MILLIS);
      times.connected();
      socket.setSoTimeout(TIMEOUT_MILLIS);
      StateRequest held = wantsWhole ? StateRequest.WHOLE : state.request();
      TransferRequest request = new TransferRequest(held, state.view().version(), wantsFacts());
      BufferedOutputStream out = new BufferedOutputStream(socket.getOutputStream());
      StateChangesCodec.write(request, out);
      out.flush();
      StateTransfer transfer = read(socket, times);
      MeshState.Adoption adoption = state.adopt(transfer, source.toString());
      answered(transfer);
      if (adoption == MeshState.Adoption.NOT_NEWER) {
        return false;
      }
      wantsWhole = adoption == MeshState.Adoption.UNFIT;
      if (wantsWhole) {
        throw new IOException("a patch does not fit the item that it is for");
      }
      events.stateAdopted(source.toString(), state.view().version(), transfer, times.taken());
      return true;
    } catch (IOException failure) {
      events.statePullFailed(source.toString(), failure);
      return false;
    }
  }

  private static StateTransfer read(Socket socket, TransferTimes.Clock times) throws IOException {
    BufferedInputStream answer = new BufferedInputStream(socket.getInputStream());
    answer.mark(1);
    if (answer.read() < 0) {
      throw new EOFException("no answer");
    }
    times.answerBegins();
    answer.reset();
    StateTransfer transfer = StateChangesCodec.read(answer);
    times.answerRead();
    return transfer;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    workers.shutdownNow();
  }
}
