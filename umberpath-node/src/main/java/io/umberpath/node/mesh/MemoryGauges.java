package io.umberpath.node.mesh;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Gauges of heap usage and garbage collection; an almost full heap shows up as CPU time spent in
 * collections.
 */
final class MemoryGauges {
  private static final double MILLIS_PER_SECOND = 1_000;

  private MemoryGauges() {}

  /** Returns the value suppliers by gauge name without the prefix. */
  static Map<String, Supplier<Number>> all() {
    MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    List<GarbageCollectorMXBean> collectors = ManagementFactory.getGarbageCollectorMXBeans();
    return Map.of(
        "heap.used.bytes", () -> memory.getHeapMemoryUsage().getUsed(),
        "heap.max.bytes", () -> memory.getHeapMemoryUsage().getMax(),
        "collections", () -> collectors.stream().mapToLong(each -> each.getCollectionCount()).sum(),
        "collection.seconds",
            () ->
                collectors.stream().mapToLong(each -> each.getCollectionTime()).sum()
                    / MILLIS_PER_SECOND);
  }
}
