package io.umberpath.node.admin;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.umberpath.node.control.ControlRuntime;
import io.umberpath.transport.GrizzlyTransport;
import io.umberpath.transport.Transport;
import io.umberpath.transport.TransportFault;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Metrics of control connections between nodes, including the control traffic in bytes. */
public final class TransportMetrics {
  private static final String PREFIX = "umberpath.transport.";

  private TransportMetrics() {}

  /** Registers the meters; values are read when the registry is scraped. */
  public static void register(
      MeterRegistry registry, GrizzlyTransport transport, ControlRuntime control) {
    registerTraffic(registry, transport, "bytes", "sent", Transport.Traffic::sentBytes);
    registerTraffic(registry, transport, "bytes", "received", Transport.Traffic::receivedBytes);
    registerTraffic(registry, transport, "messages", "sent", Transport.Traffic::sentMessages);
    registerTraffic(
        registry, transport, "messages", "received", Transport.Traffic::receivedMessages);
    Gauge.builder(PREFIX + "connections", transport, GrizzlyTransport::connectionCount)
        .description("connections with other nodes")
        .strongReference(true)
        .register(registry);
    for (TransportFault fault : TransportFault.values()) {
      FunctionCounter.builder(
              PREFIX + "faults", transport, source -> source.faultCounts().getOrDefault(fault, 0L))
          .description("faults of connections with other nodes")
          .tag("fault", fault.name().toLowerCase(Locale.ROOT))
          .register(registry);
    }
    FunctionCounter.builder(PREFIX + "dropped", control, ControlRuntime::droppedMessages)
        .description("messages dropped because too many waited for the control thread")
        .register(registry);
  }

  private static void registerTraffic(
      MeterRegistry registry,
      GrizzlyTransport transport,
      String unit,
      String direction,
      ToDoubleFunction<Transport.Traffic> value) {
    FunctionCounter.builder(
            PREFIX + unit, transport, source -> value.applyAsDouble(source.traffic()))
        .description("control traffic in " + unit)
        .tag("direction", direction)
        .register(registry);
  }
}
