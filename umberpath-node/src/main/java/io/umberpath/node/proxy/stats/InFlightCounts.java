package io.umberpath.node.proxy.stats;

import io.umberpath.node.proxy.stats.ProxyStats.Side;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Numbers of requests in flight per listener side. Thread-safe. */
public final class InFlightCounts {
  private final Map<Side, AtomicInteger> counts = new EnumMap<>(Side.class);

  /** Creates counts of a proxy without requests. */
  public InFlightCounts() {
    for (Side side : Side.values()) {
      counts.put(side, new AtomicInteger());
    }
  }

  /** Changes the count of a side when a request begins or ends. */
  public void add(Side side, int change) {
    counts.get(side).addAndGet(change);
  }

  /** The live count of a side. */
  Number get(Side side) {
    return counts.get(side);
  }
}
