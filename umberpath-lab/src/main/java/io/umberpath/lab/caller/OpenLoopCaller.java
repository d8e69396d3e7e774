package io.umberpath.lab.caller;

import com.google.common.base.Throwables;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends calls at moments drawn in advance, whether or not earlier ones have been answered. {@link
 * #close} stops new calls and waits for the answers of those under way.
 */
public final class OpenLoopCaller implements AutoCloseable {
  private static final int THREADS = 2;

  /** Longest sleep of the pacer, so that it sees soon that it is to stop. */
  private static final long LONGEST_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final double NANOS_PER_SECOND = 1e9;

  private final CallerSettings settings;
  private final CallRecords records;
  private final ExecutorService executor = Executors.newFixedThreadPool(THREADS, daemon());
  private final HttpClient client;
  private final Phaser underWay = new Phaser(1);
  private final AtomicInteger nextTarget = new AtomicInteger();
  private final Thread pacer = new Thread(this::pace, "caller-pacer");
  private volatile boolean stopping;

  private OpenLoopCaller(CallerSettings settings, CallRecords records) {
    this.settings = settings;
    this.records = records;
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(settings.patience())
            .executor(executor)
            .build();
  }

  /** Starts calling; outcomes go to the records. */
  public static OpenLoopCaller start(CallerSettings settings, CallRecords records) {
    OpenLoopCaller caller = new OpenLoopCaller(settings, records);
    caller.pacer.setDaemon(true);
    caller.pacer.start();
    return caller;
  }

  /** Calls sent and not answered yet. */
  public int underWay() {
    return underWay.getRegisteredParties() - 1;
  }

  @Override
  public void close() {
    stopping = true;
    try {
      pacer.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    underWay.arriveAndAwaitAdvance();
    executor.shutdown();
  }

  private void pace() {
    SplittableRandom random = new SplittableRandom(settings.seed());
    long dueNanos = System.nanoTime();
    for (long number = 0; !stopping; number++) {
      double gapSeconds = -Math.log(1 - random.nextDouble()) / settings.ratePerSecond();
      dueNanos += Math.round(gapSeconds * NANOS_PER_SECOND);
      Call call = settings.mix().next(random, settings.name() + "-" + number);
      awaitDue(dueNanos);
      if (!stopping) {
        underWay.register();
        send(call, dueNanos, settings.attempts());
      }
    }
  }

  private void awaitDue(long dueNanos) {
    long left = dueNanos - System.nanoTime();
    while (left > 0 && !stopping) {
      LockSupport.parkNanos(Math.min(left, LONGEST_PARK_NANOS));
      left = dueNanos - System.nanoTime();
    }
  }

  private void send(Call call, long dueNanos, int attemptsLeft) {
    int turn = nextTarget.getAndIncrement();
    URI target = settings.targets().get(Math.floorMod(turn, settings.targets().size()));
    CompletableFuture<HttpResponse<byte[]>> answer =
        client.sendAsync(
            call.request(target, settings.patience()), HttpResponse.BodyHandlers.ofByteArray());
    answer.whenComplete((got, failure) -> answered(call, dueNanos, attemptsLeft, got, failure));
  }

  private void answered(
      Call call, long dueNanos, int attemptsLeft, HttpResponse<byte[]> answer, Throwable failure) {
    CallOutcome outcome = failure == null ? call.judge(answer) : CallOutcome.NO_ANSWER;
    if (outcome != CallOutcome.COMPLETED && attemptsLeft > 1) {
      send(call, dueNanos, attemptsLeft - 1);
      return;
    }
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
    String detail = failure == null ? call.describe(answer) : nameOf(failure);
    records.add(call, outcome, micros, detail);
    underWay.arriveAndDeregister();
  }

  private static String nameOf(Throwable failure) {
    return Throwables.getRootCause(failure).getClass().getSimpleName();
  }

  private static ThreadFactory daemon() {
    return task -> {
      Thread thread = new Thread(task, "caller");
      thread.setDaemon(true);
      return thread;
    };
  }
}
