package io.umberpath.node.admin;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.umberpath.control.ControlStatus;
import io.umberpath.node.control.ControlService;
import java.util.function.ToDoubleFunction;

/** Metrics of a node's control plane and process. Metric names are stable. */
public final class NodeMetrics {
  private NodeMetrics() {}

  /** Registers the gauges; values are read when the registry is scraped. */
  public static void register(MeterRegistry registry, ControlService control) {
    new JvmMemoryMetrics().bindTo(registry);
    new JvmThreadMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    ControlGauges gauges = new ControlGauges(registry, control);
    registerConsensus(gauges);
    registerPlatform(gauges);
  }

  private static void registerConsensus(ControlGauges gauges) {
    gauges.add("epoch", "highest epoch promised", ControlStatus::epoch);
    gauges.add(
        "committed.sequence",
        "sequence of the newest committed version",
        status -> status.committed().version().sequence());
    gauges.add(
        "held.sequence",
        "sequence of the newest version held",
        status -> status.heldVersion().sequence());
    gauges.add(
        "active.sequence",
        "sequence of the version in force",
        status -> status.activeVersion().sequence());
    gauges.add("children", "nodes that it relays to", ControlStatus::children);
    gauges.add(
        "members", "members of the committed roster", status -> status.committed().roster().size());
    gauges.add(
        "leader", "1 while it leads", status -> roleIndicator(status, ControlStatus.Role.LEADER));
    gauges.add(
        "joining",
        "1 while it is not a member of the fleet",
        status -> roleIndicator(status, ControlStatus.Role.JOINING));
  }

  private static void registerPlatform(ControlGauges gauges) {
    gauges.add(
        "active.platform.revision", "platform revision in force", ControlStatus::activeRevision);
    gauges.add(
        "document.platform.revision",
        "newest platform revision held",
        status -> status.document().revision());
    gauges.add("reader", "1 while it reads the platform", status -> status.reader() ? 1 : 0);
    gauges.add(
        "composition.violations",
        "reasons why the newest pair of version and revision is not in force",
        status -> status.compositionViolations().size());
  }

  private static double roleIndicator(ControlStatus status, ControlStatus.Role role) {
    return status.role() == role ? 1 : 0;
  }

  /** Registers gauges that read the status of a control service. */
  private record ControlGauges(MeterRegistry registry, ControlService control) {
    void add(String name, String description, ToDoubleFunction<ControlStatus> value) {
      Gauge.builder(
              "umberpath.control." + name, control, source -> value.applyAsDouble(source.status()))
          .description(description)
          .strongReference(true)
          .register(registry);
    }
  }
}
