package io.umberpath.node.proxy.stats;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.VerdictHeader;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Publishes the statistics to a meter registry. */
public final class MeterRegistryStats implements ProxyStats {
  private static final String REQUESTS = "umberpath.proxy.requests";
  private static final String RETRIES = "umberpath.proxy.retries";
  private static final String IN_FLIGHT = "umberpath.proxy.in.flight";

  private final MeterRegistry registry;
  private final Map<Side, Map<Verdict, Timer>> requests = new EnumMap<>(Side.class);
  private final InFlightCounts inFlight;
  private final Map<Verdict, Counter> retries = new ConcurrentHashMap<>();

  /** Registers the meters of a process without requests. */
  public MeterRegistryStats(MeterRegistry registry) {
    this(registry, new InFlightCounts());
  }

  /**
   * Registers the meters of a process that already has requests.
   *
   * @param inFlight requests in flight, counted since the start of the process
   */
  public MeterRegistryStats(MeterRegistry registry, InFlightCounts inFlight) {
    this.registry = registry;
    this.inFlight = inFlight;
    for (Side side : Side.values()) {
      requests.put(side, new ConcurrentHashMap<>());
      registry.gauge(IN_FLIGHT, tags("side", lowerCaseName(side)), inFlight.get(side));
    }
  }

  @Override
  public void requestEnded(Side side, Verdict verdict, long micros) {
    requests
        .get(side)
        .computeIfAbsent(verdict, absent -> timer(side, verdict))
        .record(micros, TimeUnit.MICROSECONDS);
  }

  @Override
  public void retried(Verdict verdict) {
    retries
        .computeIfAbsent(
            verdict,
            absent -> registry.counter(RETRIES, tags("verdict", VerdictHeader.format(verdict))))
        .increment();
  }

  @Override
  public void inFlight(Side side, int change) {
    inFlight.add(side, change);
  }

  private Timer timer(Side side, Verdict verdict) {
    return registry.timer(
        REQUESTS,
        io.micrometer.core.instrument.Tags.of(
            "side", lowerCaseName(side), "verdict", VerdictHeader.format(verdict)));
  }

  private static Iterable<io.micrometer.core.instrument.Tag> tags(String key, String value) {
    return io.micrometer.core.instrument.Tags.of(key, value);
  }

  private static String lowerCaseName(Side side) {
    return side.name().toLowerCase(Locale.ROOT);
  }
}
