package io.umberpath.node.mesh;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Gauges of the heap and of what its collections cost: a full heap shows as processor time. */
final class MemoryGauges {
  private static final double MILLIS_PER_SECOND = 1_000;

  private MemoryGauges() {}

  /** Name of each gauge, without the prefix, to its value. */
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
