package io.umberpath.node.mesh;

import io.umberpath.control.membership.SilenceTimeouts;
import io.umberpath.control.store.StoreRequest;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.control.store.StoreWatcher.Step;
import io.umberpath.control.store.StoreWatcherSettings;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** The thread that makes the watcher's store calls while this node reads the store itself. */
final class StoreFollower implements AutoCloseable {
  private static final long MAX_SLEEP_MILLIS = 1_000;

  /**
   * Time between checks of a node that does not read, milliseconds: readers are elected once a
   * round of reports.
   */
  private static final long IDLE_CHECK_MILLIS = SilenceTimeouts.ROUND_MILLIS;

  /** The same while it has no state and therefore refuses requests, milliseconds. */
  private static final long START_CHECK_MILLIS = 25;

  /** How long a node that stopped reading reports its last failed call, milliseconds. */
  private static final long FAILURE_RETENTION_MILLIS = 5_000;

  /**
   * Consecutive throttled calls from which on the store counts as unreachable from this node: 0.5
   * to 1 s with the pauses between them, longer than a burst of calls by many nodes.
   */
  private static final int MAX_CONSECUTIVE_THROTTLED = 4;

  /**
   * Time beyond the longest wait of a watch after which it counts as unanswered, milliseconds: the
   * store takes some milliseconds, a saturated link some hundred.
   */
  private static final long WATCH_GRACE_MILLIS = 600;

  private static final long NEVER = -1;

  private final MeshState state;
  private final StoreClient client;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final SupervisedThread thread;
  private volatile boolean closed;
  private volatile StoreContact contact = StoreContact.FROM_START;
  private volatile Supplier<ReadDecision> readPolicy =
      () -> new ReadDecision(true, false, () -> "always");
  private volatile Runnable changeListener = () -> {};
  private volatile boolean reading = true;
  private boolean isStandby;

  /** Timings of the current or last call. */
  private volatile StoreWatcherSettings timings = StoreWatchTimings.PROMPT;

  private int consecutiveThrottled;

  /** Time of the last response since this node began to read; NEVER before the first. */
  private volatile long lastResponseMillis = NEVER;

  StoreFollower(MeshState state, StoreClient client, MeshEvents events, LongSupplier clockMillis) {
    this.state = state;
    this.client = client;
    this.events = events;
    this.clockMillis = clockMillis;
    this.thread = new SupervisedThread(MeshTask.STORE, this::step, events);
  }

  /** Sets the policy that decides whether this node calls the store; without one it does. */
  void setReadPolicy(Supplier<ReadDecision> policy) {
    readPolicy = policy;
  }

  /** Sets a listener that is called after changes were received from the store. */
  void onChange(Runnable listener) {
    changeListener = listener;
  }

  void start() {
    thread.start();
  }

  /** The contact with the store as of this node's last call. */
  StoreContact contact() {
    return contact;
  }

  /** Whether this node calls the store now. */
  boolean isReading() {
    return reading;
  }

  /** The contact with the store as reported to other nodes. */
  ReportedContact reportedContact() {
    long now = clockMillis.getAsLong();
    long respondedAt = lastResponseMillis;
    if (!contact.reachable()) {
      return ReportedContact.of(contact, now);
    }
    if (!reading || respondedAt == NEVER) {
      return ReportedContact.NO_CALLS;
    }
    boolean isLate = now > respondedAt + timings.longestResponseGapMillis() + WATCH_GRACE_MILLIS;
    return ReportedContact.of(isLate ? new StoreContact(false, respondedAt) : contact, now);
  }

  private void step() throws InterruptedException {
    if (!updateReading()) {
      boolean isStarting = !state.view().position().isKnown();
      Thread.sleep(isStarting ? START_CHECK_MILLIS : IDLE_CHECK_MILLIS);
      return;
    }
    Step step;
    synchronized (state) {
      timings = isStandby ? StoreWatchTimings.STANDBY : StoreWatchTimings.PROMPT;
      state.watcher().updateSettings(timings);
      step = state.watcher().nextStep(clockMillis.getAsLong());
    }
    if (step instanceof Step.Wait wait) {
      long remainingMillis = wait.untilMillis() - clockMillis.getAsLong();
      Thread.sleep(Math.max(1, Math.min(remainingMillis, MAX_SLEEP_MILLIS)));
      return;
    }
    StoreRequest request = ((Step.Call) step).call();
    StoreResponse response = rejectOutdated(client.call(request));
    if (closed) {
      return;
    }
    long now = clockMillis.getAsLong();
    recordOutcome(now, response);
    boolean hasAdvanced = state.handleResponse(now, response);
    if (hasAdvanced) {
      // Called before the changes are applied here, so that other nodes need not wait.
      changeListener.run();
      state.refresh("store");
    }
    events.storeCalled(response, state.view().heldPosition());
  }

  /** Replaces a response of an earlier era: a late one, or one of an old store instance. */
  private StoreResponse rejectOutdated(StoreResponse response) {
    synchronized (state) {
      return state.watcher().isOutdated(response)
          ? new StoreResponse.Unavailable(
              "answer of era %d, and %d has begun"
                  .formatted(response.era().getAsLong(), state.watcher().position().era()))
          : response;
    }
  }

  private boolean updateReading() {
    ReadDecision current = readPolicy.get();
    boolean shouldRead = current.shouldRead();
    isStandby = current.isStandby();
    if (shouldRead != reading) {
      consecutiveThrottled = 0;
      lastResponseMillis = NEVER;
      reading = shouldRead;
      events.storeReader(shouldRead, current.inputs().get());
    }
    boolean isExpired = clockMillis.getAsLong() > contact.sinceMillis() + FAILURE_RETENTION_MILLIS;
    if (!shouldRead && !contact.reachable() && isExpired) {
      contact = StoreContact.FROM_START;
    }
    return shouldRead;
  }

  private void recordOutcome(long nowMillis, StoreResponse response) {
    if (response instanceof StoreResponse.Throttled) {
      consecutiveThrottled++;
      if (consecutiveThrottled >= MAX_CONSECUTIVE_THROTTLED) {
        // Lets other nodes of the zone read, since the store may throttle this node alone.
        recordLost(nowMillis, "throttled " + consecutiveThrottled + " times in a row");
      }
      return;
    }
    consecutiveThrottled = 0;
    if (response instanceof StoreResponse.Unavailable unavailable) {
      recordLost(nowMillis, unavailable.cause());
    } else if (response instanceof StoreResponse.Unreadable unreadable) {
      recordLost(nowMillis, unreadable.cause());
    } else {
      recordAnswered(nowMillis);
    }
  }

  private void recordAnswered(long nowMillis) {
    lastResponseMillis = nowMillis;
    if (!contact.reachable()) {
      events.storeRegained(nowMillis - contact.sinceMillis());
      contact = new StoreContact(true, nowMillis);
    }
  }

  private void recordLost(long nowMillis, String cause) {
    if (contact.reachable()) {
      events.storeLost(cause);
      contact = new StoreContact(false, nowMillis);
    }
  }

  @Override
  public void close() {
    closed = true;
    client.close();
    thread.close();
  }
}
