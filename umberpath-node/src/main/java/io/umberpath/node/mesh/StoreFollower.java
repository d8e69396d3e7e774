package io.umberpath.node.mesh;

import io.umberpath.control.membership.SilenceTimes;
import io.umberpath.control.store.StoreAnswer;
import io.umberpath.control.store.StoreCall;
import io.umberpath.control.store.StoreWatcher.Step;
import io.umberpath.control.store.StoreWatcherSettings;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The thread that carries out what the watcher wants, while this node is to read the store itself.
 */
final class StoreFollower implements AutoCloseable {
  private static final long MAX_SLEEP_MILLIS = 1_000;

  /**
   * How soon a node that does not read notices that it is to, milliseconds: readers are elected
   * once a round of reports.
   */
  private static final long IDLE_CHECK_MILLIS = SilenceTimes.ROUND_MILLIS;

  /** The same while it holds nothing: until then it refuses callers, milliseconds. */
  private static final long START_CHECK_MILLIS = 25;

  /** How long a node that stopped reading passes the last failure of its calls on, milliseconds. */
  private static final long FAILURE_REMEMBERED_MILLIS = 5_000;

  /**
   * Calls in a row that the store may throttle before it counts as not answering this node: with
   * the pauses between them 0.5 to 1 s, past a rush of many nodes at once.
   */
  private static final int MAX_THROTTLED_IN_A_ROW = 4;

  /**
   * Time beyond the longest that a watch may take from which on it counts as not answered,
   * milliseconds: the store takes some milliseconds, a full link some hundred.
   */
  private static final long LATE_BY_MILLIS = 600;

  /** Pause after a fault in the program, so that it is not met as fast as a core runs. */
  private static final long FAULT_PAUSE_MILLIS = 1_000;

  private static final long NEVER = -1;

  private final MeshState state;
  private final StoreClient client;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final Thread thread = new Thread(this::run, "umberpath-store");
  private volatile boolean closed;
  private volatile StoreContact contact = StoreContact.FROM_START;
  private volatile Supplier<ReadDecision> decision =
      () -> new ReadDecision(true, false, () -> "always");
  private volatile Runnable changeListener = () -> {};
  private volatile boolean reading = true;
  private boolean standby;

  /** How the call that is under way, or was last, is timed. */
  private volatile StoreWatcherSettings timing = WatchTimes.PROMPT;

  private int throttledInARow;

  /** When a call was last answered since this node began to read; NEVER before the first. */
  private volatile long answeredAtMillis = NEVER;

  StoreFollower(MeshState state, StoreClient client, MeshEvents events, LongSupplier clockMillis) {
    this.state = state;
    this.client = client;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /** Decides whether this node calls the store itself; until then it does. */
  void onlyIf(Supplier<ReadDecision> condition) {
    decision = condition;
  }

  /** Is told when the store's changes were taken. */
  void onChange(Runnable listener) {
    changeListener = listener;
  }

  void start() {
    thread.setDaemon(true);
    thread.start();
  }

  /** Whether the store answers, as of this node's last call. */
  StoreContact contact() {
    return contact;
  }

  /** Whether this node calls the store now. */
  boolean isReading() {
    return reading;
  }

  /** How this node's calls go, for the others. */
  ReportedContact reported() {
    long now = clockMillis.getAsLong();
    long answeredAt = answeredAtMillis;
    if (!contact.reachable()) {
      return ReportedContact.of(contact, now);
    }
    if (!reading || answeredAt == NEVER) {
      return ReportedContact.NO_CALLS;
    }
    boolean isLate = now > answeredAt + timing.longestQuietMillis() + LATE_BY_MILLIS;
    return ReportedContact.of(isLate ? new StoreContact(false, answeredAt) : contact, now);
  }

  private void run() {
    while (!closed) {
      try {
        step();
      } catch (InterruptedException ended) {
        return;
      } catch (RuntimeException fault) {
        events.fault("store follower", fault);
        pauseAfterFault();
      }
    }
  }

  private void pauseAfterFault() {
    try {
      Thread.sleep(FAULT_PAUSE_MILLIS);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void step() throws InterruptedException {
    if (!mayRead()) {
      boolean starts = !state.view().position().isKnown();
      Thread.sleep(starts ? START_CHECK_MILLIS : IDLE_CHECK_MILLIS);
      return;
    }
    Step step;
    synchronized (state) {
      timing = standby ? WatchTimes.STANDBY : WatchTimes.PROMPT;
      state.watcher().pace(timing);
      step = state.watcher().next(clockMillis.getAsLong());
    }
    if (step instanceof Step.Wait wait) {
      long left = wait.untilMillis() - clockMillis.getAsLong();
      Thread.sleep(Math.max(1, Math.min(left, MAX_SLEEP_MILLIS)));
      return;
    }
    StoreCall call = ((Step.Call) step).call();
    StoreAnswer answer = ofThisEra(client.call(call));
    if (closed) {
      return;
    }
    long now = clockMillis.getAsLong();
    note(now, answer);
    boolean isFurther = state.answered(now, answer);
    if (isFurther) {
      // Others need not wait until it is in force here.
      changeListener.run();
      state.refresh("store");
    }
    events.storeCalled(answer, state.view().held());
  }

  /** An answer of an era that is over is none: of a late one, or of one from an old instance. */
  private StoreAnswer ofThisEra(StoreAnswer answer) {
    synchronized (state) {
      return state.watcher().isOutdated(answer)
          ? new StoreAnswer.Unavailable(
              "answer of era %d, and %d has begun"
                  .formatted(answer.era().getAsLong(), state.watcher().at().era()))
          : answer;
    }
  }

  private boolean mayRead() {
    ReadDecision current = decision.get();
    boolean now = current.reads();
    standby = current.isStandby();
    if (now != reading) {
      throttledInARow = 0;
      answeredAtMillis = NEVER;
      reading = now;
      events.storeReader(now, current.inputs().get());
    }
    boolean expired = clockMillis.getAsLong() > contact.sinceMillis() + FAILURE_REMEMBERED_MILLIS;
    if (!now && !contact.reachable() && expired) {
      contact = StoreContact.FROM_START;
    }
    return now;
  }

  private void note(long nowMillis, StoreAnswer answer) {
    if (answer instanceof StoreAnswer.Throttled) {
      throttledInARow++;
      if (throttledInARow >= MAX_THROTTLED_IN_A_ROW) {
        // Others of the zone are to read: the store may throttle this node alone.
        lost(nowMillis, "throttled " + throttledInARow + " times in a row");
      }
      return;
    }
    throttledInARow = 0;
    if (!(answer instanceof StoreAnswer.Unavailable)) {
      answeredAtMillis = nowMillis;
    }
    if (answer instanceof StoreAnswer.Unavailable unavailable) {
      lost(nowMillis, unavailable.cause());
    } else if (!contact.reachable()) {
      events.storeRegained(nowMillis - contact.sinceMillis());
      contact = new StoreContact(true, nowMillis);
    }
  }

  private void lost(long nowMillis, String cause) {
    if (contact.reachable()) {
      events.storeLost(cause);
      contact = new StoreContact(false, nowMillis);
    }
  }

  @Override
  public void close() {
    closed = true;
    client.close();
    thread.interrupt();
  }
}
