package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.load.BackendSpeed;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Twelve nodes balance over five backends, of which one is slow for a time and does not state it.
 */
final class RecoveredBackendTest {
  private static final int NODES = 12;
  private static final int BACKENDS = 5;
  private static final int SLOTS = 6;
  private static final double WORK_MILLIS = 60;
  private static final double SLOW_FACTOR = 12;
  private static final long SLOW_FROM_MILLIS = 2_000;
  private static final long SLOW_UNTIL_MILLIS = 8_000;
  private static final long TARGET_MILLIS = 250;
  private static final long REPORT_MILLIS = 200;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final int MIN_TIME_SAMPLES = 5;
  private static final String ROUTE = "read";

  private record Event(double atMillis, long order, Runnable action) {}

  private record Running(double sinceMillis) {}

  /** A backend and what the node beside it measures. */
  private final class Server {
    private final BackendEntry entry;
    private final boolean isSlowForATime;
    private final Queue<LatencyAwareBalancer> queue = new ArrayDeque<>();
    private final List<Running> running = new ArrayList<>();
    private final BackendSpeed speed = new BackendSpeed();
    private final RouteAverages routeTimes = new RouteAverages(MIN_TIME_SAMPLES);
    private int served;

    Server(int index, boolean isSlowForATime) {
      this.entry =
          new BackendEntry(
              "i-" + index,
              "service",
              new PeerAddress("10.0.0.1", 1),
              "a",
              SLOTS,
              BackendEntry.State.READY,
              0);
      this.isSlowForATime = isSlowForATime;
    }

    private double workMillis() {
      boolean isSlow =
          isSlowForATime && nowMillis >= SLOW_FROM_MILLIS && nowMillis < SLOW_UNTIL_MILLIS;
      return WORK_MILLIS * (0.7 + 0.6 * random.nextDouble()) * (isSlow ? SLOW_FACTOR : 1);
    }

    void enqueue(LatencyAwareBalancer sender) {
      queue.add(sender);
      startNext();
    }

    private void startNext() {
      if (running.size() < SLOTS && !queue.isEmpty()) {
        LatencyAwareBalancer sender = queue.remove();
        Running started = new Running(nowMillis);
        running.add(started);
        schedule(nowMillis + workMillis(), () -> finish(sender, started));
      }
    }

    private void finish(LatencyAwareBalancer sender, Running ended) {
      running.remove(ended);
      served++;
      late += nowMillis - ended.sinceMillis() > TARGET_MILLIS ? 1 : 0;
      long micros = Math.round((nowMillis - ended.sinceMillis()) * MICROS_PER_MILLI);
      long now = Math.round(nowMillis);
      routeTimes.add(now, ROUTE, speed.recordResponse(now, ROUTE, micros));
      startNext();
      sender.finished(now, entry.id(), new Verdict.Completed());
      sender.updateLoad(now, entry.id(), load());
      sender.updateRouteTime(now, entry.id(), ROUTE, routeTimes.average(ROUTE));
    }

    private BackendLoad load() {
      long now = Math.round(nowMillis);
      long expected = routeTimes.average(ROUTE);
      List<SlowdownDetector.Running> ages =
          running.stream()
              .map(
                  each ->
                      new SlowdownDetector.Running(
                          Math.round((nowMillis - each.sinceMillis()) * MICROS_PER_MILLI),
                          expected))
              .toList();
      double slowdown = speed.slowdown(now, SlowdownDetector.slowdownFactor(ages));
      return new BackendLoad(
          running.size(),
          queue.size(),
          SLOTS,
          Math.round(WORK_MILLIS * MICROS_PER_MILLI),
          BackendLoad.clampSlowness((int) Math.round(slowdown * BackendLoad.USUAL_PERCENT)),
          0);
    }
  }

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparing(Event::order));
  private final List<Server> servers = new ArrayList<>();
  private final List<LatencyAwareBalancer> nodes = new ArrayList<>();
  private Random random;
  private double nowMillis;
  private long nextOrder;

  /** Responses since the last call of {@link #shareUntil}, and how many of them were late. */
  private int total;

  private int late;

  private void schedule(double atMillis, Runnable action) {
    events.add(new Event(atMillis, nextOrder++, action));
  }

  private void start(long seed, double load) {
    random = new Random(seed);
    for (int index = 0; index < BACKENDS; index++) {
      servers.add(new Server(index, index == 0));
    }
    for (int index = 0; index < NODES; index++) {
      nodes.add(new LatencyAwareBalancer("a", random::nextDouble));
    }
    scheduleArrival(WORK_MILLIS / (load * SLOTS * BACKENDS));
    scheduleReports();
  }

  private void scheduleArrival(double meanGapMillis) {
    schedule(
        nowMillis - meanGapMillis * Math.log(1 - random.nextDouble()),
        () -> {
          send(nodes.get(random.nextInt(NODES)));
          scheduleArrival(meanGapMillis);
        });
  }

  private void send(LatencyAwareBalancer node) {
    long now = Math.round(nowMillis);
    List<BackendEntry> candidates = servers.stream().map(each -> each.entry).toList();
    LatencyAwareBalancer.RequestConstraints constraints =
        new LatencyAwareBalancer.RequestConstraints(ROUTE, TARGET_MILLIS, 0.2);
    BackendEntry chosen =
        node.pick(now, candidates, constraints, Set.of(), Set.of()).orElseThrow().backend();
    node.started(now, chosen.id());
    servers.get(candidates.indexOf(chosen)).enqueue(node);
  }

  private void scheduleReports() {
    schedule(
        nowMillis + REPORT_MILLIS,
        () -> {
          for (Server server : servers) {
            BackendLoad load = server.load();
            nodes.forEach(node -> node.updateLoad(Math.round(nowMillis), server.entry.id(), load));
          }
          scheduleReports();
        });
  }

  private void runUntil(double millis) {
    while (events.peek().atMillis() < millis) {
      Event next = events.remove();
      nowMillis = next.atMillis();
      next.action().run();
    }
  }

  /** Share of the responses until that time that come from the backend that was slow. */
  private double shareUntil(double millis) {
    servers.forEach(each -> each.served = 0);
    late = 0;
    runUntil(millis);
    total = servers.stream().mapToInt(each -> each.served).sum();
    return servers.get(0).served / (double) servers.stream().mapToInt(each -> each.served).sum();
  }

  /**
   * Only responses of the backend lower its measured response times, and only requests bring
   * responses.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.2, 0.4, 0.6, 0.8})
  void backendThatWasSlowIsUsedAgain(double load) {
    start(1, load);
    runUntil(SLOW_FROM_MILLIS + 2_000);

    shareUntil(SLOW_UNTIL_MILLIS);
    assertThat(late / (double) total).as("late while one is slow").isLessThan(0.03);

    runUntil(SLOW_UNTIL_MILLIS + 8_000);
    assertThat(shareUntil(SLOW_UNTIL_MILLIS + 14_000)).isGreaterThan(0.5 / BACKENDS);
  }
}
