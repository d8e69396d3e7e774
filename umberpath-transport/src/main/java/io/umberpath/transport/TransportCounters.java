package io.umberpath.transport;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Traffic and fault counters of one transport. Thread-safe. */
final class TransportCounters {
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder sentMessages = new LongAdder();
  private final LongAdder receivedMessages = new LongAdder();
  private final Map<TransportFault, LongAdder> faultCounts = new EnumMap<>(TransportFault.class);

  TransportCounters() {
    for (TransportFault fault : TransportFault.values()) {
      faultCounts.put(fault, new LongAdder());
    }
  }

  void addSent(long bytes, long messages) {
    sentBytes.add(bytes);
    sentMessages.add(messages);
  }

  void addReceived(long bytes) {
    receivedBytes.add(bytes);
  }

  void countReceivedMessage() {
    receivedMessages.increment();
  }

  void countFault(TransportFault fault) {
    faultCounts.get(fault).increment();
  }

  Transport.Traffic traffic() {
    return new Transport.Traffic(
        sentBytes.sum(), receivedBytes.sum(), sentMessages.sum(), receivedMessages.sum());
  }

  Map<TransportFault, Long> faults() {
    Map<TransportFault, Long> counts = new EnumMap<>(TransportFault.class);
    faultCounts.forEach((fault, count) -> counts.put(fault, count.sum()));
    return counts;
  }
}
