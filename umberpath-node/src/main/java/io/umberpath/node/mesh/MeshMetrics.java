package io.umberpath.node.mesh;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.config.MeterFilter;
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.stats.InFlightCounts;
import io.umberpath.node.proxy.stats.MeterRegistryStats;
import io.umberpath.node.proxy.stats.ProxyStats;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Counters, gauges and latency histograms in the Prometheus text format. The registry is created
 * when metrics are first requested, because creating it takes a twentieth of the startup time.
 * Earlier events are not counted; rates could not be computed from them anyway. Thread-safe.
 */
final class MeshMetrics implements ProxyStats {
  private static final String PREFIX = "umberpath.";
  private static final Duration MIN_DURATION = Duration.ofMillis(1);
  private static final Duration MAX_DURATION = Duration.ofSeconds(10);

  /**
   * Counted from the start, since requests in flight when metrics are first requested end later.
   */
  private final InFlightCounts inFlight = new InFlightCounts();

  private final AtomicBoolean requested = new AtomicBoolean();
  private volatile PrometheusMeterRegistry registry;
  private volatile ProxyStats delegate = ProxyStats.NONE;
  private volatile Timer lateIterations;

  /**
   * Creates the registry and starts to count.
   *
   * @param gauges value suppliers by gauge name without the prefix
   * @param counters suppliers of totals by counter name without the prefix
   */
  void start(Map<String, Supplier<Number>> gauges, Map<String, Supplier<Number>> counters) {
    PrometheusMeterRegistry created = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    created.config().meterFilter(new Histograms());
    gauges.forEach((name, value) -> created.gauge(PREFIX + name, value, each -> toDouble(each)));
    counters.forEach(
        (name, total) ->
            FunctionCounter.builder(PREFIX + name, total, each -> toDouble(each))
                .register(created));
    delegate = new MeterRegistryStats(created, inFlight);
    lateIterations = created.timer(PREFIX + "event.loop.late");
    registry = created;
  }

  private static double toDouble(Supplier<Number> value) {
    return value.get().doubleValue();
  }

  /**
   * Returns the metrics page; empty until the registry is created.
   *
   * @param starter called once, on the first call, to have {@link #start} called on another thread
   */
  String scrape(Runnable starter) {
    PrometheusMeterRegistry current = registry;
    if (current == null && requested.compareAndSet(false, true)) {
      starter.run();
    }
    return current == null ? "" : current.scrape();
  }

  /**
   * Records the duration of an event loop iteration, which delayed the reading of received data.
   */
  void recordLateIteration(long micros) {
    Timer timer = lateIterations;
    if (timer != null) {
      timer.record(micros, TimeUnit.MICROSECONDS);
    }
  }

  @Override
  public void requestEnded(Side side, Verdict verdict, long micros) {
    delegate.requestEnded(side, verdict, micros);
  }

  @Override
  public void retried(Verdict verdict) {
    delegate.retried(verdict);
  }

  @Override
  public void inFlight(Side side, int change) {
    inFlight.add(side, change);
  }

  private static final class Histograms implements MeterFilter {
    @Override
    public DistributionStatisticConfig configure(Meter.Id id, DistributionStatisticConfig config) {
      return DistributionStatisticConfig.builder()
          .percentilesHistogram(true)
          .minimumExpectedValue((double) MIN_DURATION.toNanos())
          .maximumExpectedValue((double) MAX_DURATION.toNanos())
          .build()
          .merge(config);
    }
  }
}
