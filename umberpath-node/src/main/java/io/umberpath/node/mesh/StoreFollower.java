package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreAnswer;
import io.umberpath.control.store.StoreCall;
import io.umberpath.control.store.StoreWatcher.Step;
import java.util.function.LongSupplier;

/** The thread that carries out what the watcher wants. */
final class StoreFollower implements AutoCloseable {
  private static final long MAX_SLEEP_MILLIS = 1_000;

  private final MeshState state;
  private final StoreClient client;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final Thread thread = new Thread(this::run, "umberpath-store");
  private volatile boolean closed;
  private volatile StoreContact contact = StoreContact.FROM_START;

  StoreFollower(MeshState state, StoreClient client, MeshEvents events, LongSupplier clockMillis) {
    this.state = state;
    this.client = client;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  void start() {
    thread.setDaemon(true);
    thread.start();
  }

  /** Whether the store answers. */
  StoreContact contact() {
    return contact;
  }

  private void run() {
    while (!closed) {
      try {
        step();
      } catch (InterruptedException ended) {
        return;
      } catch (RuntimeException fault) {
        events.fault("store follower", fault);
      }
    }
  }

  private void step() throws InterruptedException {
    Step step;
    synchronized (state) {
      step = state.watcher().next(clockMillis.getAsLong());
    }
    if (step instanceof Step.Wait wait) {
      long left = wait.untilMillis() - clockMillis.getAsLong();
      Thread.sleep(Math.max(1, Math.min(left, MAX_SLEEP_MILLIS)));
      return;
    }
    StoreCall call = ((Step.Call) step).call();
    StoreAnswer answer = client.call(call);
    if (closed) {
      return;
    }
    long now = clockMillis.getAsLong();
    note(now, answer);
    synchronized (state) {
      long before = state.watcher().at();
      boolean changed = state.watcher().answered(now, answer);
      if (changed || state.watcher().at() != before) {
        state.refresh("store");
      }
    }
  }

  private void note(long nowMillis, StoreAnswer answer) {
    events.storeCalled(answer);
    if (answer instanceof StoreAnswer.Unavailable unavailable) {
      if (contact.reachable()) {
        events.storeLost(unavailable.cause());
        contact = new StoreContact(false, nowMillis);
      }
    } else if (!(answer instanceof StoreAnswer.Throttled)) {
      if (!contact.reachable()) {
        events.storeRegained(nowMillis - contact.sinceMillis());
        contact = new StoreContact(true, nowMillis);
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    client.close();
    thread.interrupt();
  }
}
