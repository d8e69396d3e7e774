package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreRequest;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.control.store.StoreWatcher;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class StoreFollowerTest {
  private static final LongSupplier CLOCK = () -> System.nanoTime() / 1_000_000;
  private static final long TIMEOUT_SECONDS = 20;
  private static final int POLICY_CHECKS = 4;

  /** Answers each call immediately and counts the calls. */
  private static final class CountingClient implements StoreClient {
    private final AtomicInteger calls = new AtomicInteger();

    @Override
    public StoreResponse call(StoreRequest call) {
      int revision = calls.incrementAndGet();
      return call instanceof StoreRequest.Read
          ? new StoreResponse.Page(
              List.of(), false, new StorePosition(StorePosition.NO_ERA, revision))
          : new StoreResponse.Events(List.of(), new StorePosition(StorePosition.NO_ERA, revision));
    }

    @Override
    public void close() {}
  }

  @Test
  void onlyAReaderCallsTheStore() throws Exception {
    MeshEvents events = new MeshEvents(CLOCK);
    StoreWatcher watcher = new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5);
    MeshState state = new MeshState(new FakeStoreItemParser(), watcher, events, CLOCK);
    CountingClient client = new CountingClient();
    AtomicBoolean shouldRead = new AtomicBoolean();
    CountDownLatch policyChecks = new CountDownLatch(POLICY_CHECKS);
    CountDownLatch changed = new CountDownLatch(1);
    try (StoreFollower follower = new StoreFollower(state, client, events, CLOCK)) {
      follower.setReadPolicy(
          () -> {
            policyChecks.countDown();
            return new ReadDecision(shouldRead.get(), false, () -> "set by the test");
          });
      follower.onChange(changed::countDown);
      follower.start();
      assertThat(policyChecks.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(client.calls).hasValue(0);
      assertThat(follower.reportedContact()).isEqualTo(ReportedContact.NO_CALLS);

      shouldRead.set(true);
      assertThat(changed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(follower.reportedContact().state()).isEqualTo(ReportedContact.State.REACHABLE);
    }
  }

  /** An error ended the thread, and the node never learned of any change again. */
  @Test
  void errorInACallDoesNotEndTheThread() throws Exception {
    MeshEvents events = new MeshEvents(CLOCK);
    StoreWatcher watcher = new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5);
    MeshState state = new MeshState(new FakeStoreItemParser(), watcher, events, CLOCK);
    AtomicBoolean isFirst = new AtomicBoolean(true);
    CountingClient counting = new CountingClient();
    StoreClient client =
        new StoreClient() {
          @Override
          public StoreResponse call(StoreRequest call) {
            if (isFirst.getAndSet(false)) {
              throw new StackOverflowError("on purpose");
            }
            return counting.call(call);
          }

          @Override
          public void close() {}
        };
    try (StoreFollower follower = new StoreFollower(state, client, events, CLOCK)) {
      follower.start();

      await(() -> counting.calls.get() > 0);
      assertThat(events.faultCount(MeshTask.STORE)).isEqualTo(1);
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(end);
      Thread.sleep(5);
    }
  }

  /**
   * The store throttled one machine for seconds and served the others. The node there remained the
   * reader of its zone and reported its calls as answered, so that no other node read.
   */
  @Test
  void persistentlyThrottledReaderReportsLostContact() throws Exception {
    MeshEvents events = new MeshEvents(CLOCK);
    StoreWatcher watcher = new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5);
    MeshState state = new MeshState(new FakeStoreItemParser(), watcher, events, CLOCK);
    CountDownLatch calls = new CountDownLatch(8);
    StoreClient client =
        new StoreClient() {
          @Override
          public StoreResponse call(StoreRequest call) {
            calls.countDown();
            return calls.getCount() > 0
                ? new StoreResponse.Throttled()
                : new StoreResponse.Page(
                    List.of(), false, new StorePosition(StorePosition.NO_ERA, 1));
          }

          @Override
          public void close() {}
        };
    try (StoreFollower follower = new StoreFollower(state, client, events, CLOCK)) {
      follower.start();
      await(() -> follower.reportedContact().state() == ReportedContact.State.LOST);
      await(() -> follower.reportedContact().state() == ReportedContact.State.REACHABLE);
    }
  }

  /** Blocks each call until the test supplies its response. */
  private static StoreClient blockingClient(SynchronousQueue<StoreResponse> responses) {
    return new StoreClient() {
      @Override
      public StoreResponse call(StoreRequest call) {
        try {
          return responses.take();
        } catch (InterruptedException ended) {
          return new StoreResponse.Unavailable("ended");
        }
      }

      @Override
      public void close() {}
    };
  }

  /** A node reported its calls as answered before the first response and while a call hung. */
  @Test
  void reportsReachableOnlyWhileCallsAreAnswered() throws Exception {
    AtomicLong now = new AtomicLong();
    MeshEvents events = new MeshEvents(CLOCK);
    StoreWatcher watcher = new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5);
    MeshState state = new MeshState(new FakeStoreItemParser(), watcher, events, CLOCK);
    SynchronousQueue<StoreResponse> responses = new SynchronousQueue<>();
    try (StoreFollower follower =
        new StoreFollower(state, blockingClient(responses), events, now::get)) {
      follower.start();
      assertThat(follower.reportedContact().state()).isEqualTo(ReportedContact.State.NONE);

      responses.put(
          new StoreResponse.Page(List.of(), false, new StorePosition(StorePosition.NO_ERA, 1)));
      await(() -> follower.reportedContact().state() == ReportedContact.State.REACHABLE);

      now.addAndGet(10_000);
      assertThat(follower.reportedContact().state()).isEqualTo(ReportedContact.State.LOST);
    }
  }

  /**
   * A standby reader calls less often. Its zone took it for refused whenever its watch was pending
   * for long, and another node began to read in its place.
   */
  @ParameterizedTest
  @CsvSource({
    "false, 1_390, REACHABLE",
    "false, 1_420, LOST",
    "true, 3_700, REACHABLE",
    "true, 4_350, REACHABLE",
    "true, 4_370, LOST"
  })
  void callIsLateOnlyAfterItsLongestWait(
      boolean standby, String millis, ReportedContact.State state) throws Exception {
    AtomicLong now = new AtomicLong();
    MeshEvents events = new MeshEvents(CLOCK);
    StoreWatcher watcher = new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 1);
    MeshState held = new MeshState(new FakeStoreItemParser(), watcher, events, CLOCK);
    SynchronousQueue<StoreResponse> responses = new SynchronousQueue<>();
    try (StoreFollower follower =
        new StoreFollower(held, blockingClient(responses), events, now::get)) {
      follower.setReadPolicy(() -> new ReadDecision(true, standby, () -> "set by the test"));
      follower.start();
      responses.put(
          new StoreResponse.Page(List.of(), false, new StorePosition(StorePosition.NO_ERA, 1)));
      await(() -> follower.reportedContact().state() == ReportedContact.State.REACHABLE);

      now.addAndGet(Long.parseLong(millis.replace("_", "")));

      assertThat(follower.reportedContact().state()).isEqualTo(state);
    }
  }
}
