package io.umberpath.lab.backend;

import io.umberpath.lab.workload.RequestKind;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;

/** One back end of the workloads. Thread-safe. */
public final class BackendStandIn implements AutoCloseable {
  private static final long SAMPLE_MILLIS = 20;

  private final BackendSettings settings;
  private final RunLedger ledger;
  private final SlotQueue slots;
  private final ServiceTimes serviceTimes;
  private final LoadSignal signal;
  private final ConnectionCap connections;
  private final BackendTransport server;
  private final ScheduledExecutorService timer;
  private final long startedMillis = nowMillis();
  private volatile boolean draining;
  private volatile double slowdown = 1;
  private volatile long lastBegunNanos = System.nanoTime();

  private BackendStandIn(String host, int port, BackendSettings settings, RunLedger ledger) {
    this.settings = settings;
    this.ledger = ledger;
    this.slots = new SlotQueue(settings.slots(), settings.queue());
    this.serviceTimes = new ServiceTimes(settings);
    this.signal = new LoadSignal(settings.slots());
    this.connections = new ConnectionCap(settings.connections());
    this.server = new BackendTransport(host, port, new BackendFilter(this), connections);
    this.timer = timer(settings.id());
  }

  /**
   * Starts a cold back end.
   *
   * @param host IP address to listen on
   * @param port port; 0 picks a free one
   * @param settings its behaviour
   * @param ledger records what runs
   * @throws IOException if the port cannot be bound
   */
  public static BackendStandIn start(
      String host, int port, BackendSettings settings, RunLedger ledger) throws IOException {
    BackendStandIn backend = new BackendStandIn(host, port, settings, ledger);
    backend.sample();
    backend.timer.scheduleAtFixedRate(
        backend::sample, SAMPLE_MILLIS, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    backend.server.start();
    return backend;
  }

  /** The port it listens on. */
  public int port() {
    return server.port();
  }

  /** Its behaviour. */
  public BackendSettings settings() {
    return settings;
  }

  /** The record of what ran. */
  public RunLedger ledger() {
    return ledger;
  }

  /** Starts or ends draining: new work is refused, running work goes on. */
  public void setDraining(boolean newDraining) {
    draining = newDraining;
  }

  /** Distorts what the health and load endpoints say from now on. */
  public void distortSignals(SignalMode mode, long lagMillis) {
    signal.distort(mode, lagMillis);
  }

  /** Makes every service time so many times as long. */
  public void setSlowdown(double newSlowdown) {
    slowdown = newSlowdown;
  }

  /** When a request last began to run here, on the clock of {@link System#nanoTime}. */
  public long lastBegunNanos() {
    return lastBegunNanos;
  }

  /** Requests that have a slot. */
  public int running() {
    return slots.running();
  }

  /** Connections open now. */
  public int openConnections() {
    return connections.open();
  }

  /** Connections closed because too many were open. */
  public int refusedConnections() {
    return connections.refused();
  }

  @Override
  public void close() {
    server.close();
    timer.shutdownNow();
  }

  boolean isDraining() {
    return draining;
  }

  SlotQueue slots() {
    return slots;
  }

  LoadSignal.Sample reportedLoad() {
    return signal.reported(nowMillis());
  }

  long nextServiceMicros(RequestKind kind, Connection<?> connection) {
    long unscaled = serviceTimes.nextMicros(kind, nowMillis() - startedMillis);
    long micros = Math.round(unscaled * slowdown);
    boolean fresh = connections.isFirstUse(connection);
    return fresh ? micros + TimeUnit.MILLISECONDS.toMicros(settings.openMillis()) : micros;
  }

  void begin(RequestKind kind, String requestId) {
    lastBegunNanos = System.nanoTime();
    ledger.begin(kind, requestId);
  }

  void later(long micros, Runnable task) {
    try {
      timer.schedule(task, micros, TimeUnit.MICROSECONDS);
    } catch (RejectedExecutionException closed) {
      // The back end died; its requests die with it.
      return;
    }
  }

  private void sample() {
    signal.observe(new LoadSignal.Sample(nowMillis(), slots.running(), slots.waiting(), draining));
  }

  private static ScheduledExecutorService timer(String id) {
    return new ScheduledThreadPoolExecutor(
        1,
        task -> {
          Thread thread = new Thread(task, "backend-" + id);
          thread.setDaemon(true);
          return thread;
        });
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
