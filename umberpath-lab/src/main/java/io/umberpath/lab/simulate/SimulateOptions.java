package io.umberpath.lab.simulate;

import io.umberpath.lab.simulate.SimulationSettings.ControlTimings;
import io.umberpath.lab.simulate.SimulationSettings.Subject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** Options of {@code umberpath-lab simulate}; {@code -1} stands for the profile's own value. */
final class SimulateOptions {
  private static final int OF_PROFILE = -1;

  @Option(name = "--profile", usage = "klang-valley, western-sri-lanka or two-year")
  private String profile = "klang-valley";

  @Option(name = "--nodes", usage = "number of nodes")
  private int nodes = OF_PROFILE;

  @Option(name = "--zones", usage = "number of zones")
  private int zones = OF_PROFILE;

  @Option(name = "--regions", usage = "number of regions")
  private int regions = OF_PROFILE;

  @Option(name = "--changes-per-day", usage = "operator changes a day")
  private double changesPerDay = 29_000;

  @Option(name = "--burst", usage = "changes a second during bursts of 5 s each minute")
  private double burst;

  @Option(name = "--endpoint-churn-per-second", usage = "back ends replaced a second")
  private double endpointChurn;

  @Option(name = "--faults", metaVar = "FILE", usage = "YAML file of fault events")
  private Path faults;

  @Option(
      name = "--fault",
      metaVar = "NAME[+NAME]",
      usage = "built-in fault case, or singly, or in-pairs for all of them")
  private String fault;

  @Option(name = "--seed", usage = "first seed")
  private long seed = 1;

  @Option(name = "--seeds", usage = "number of seeds to run")
  private int seeds = 1;

  @Option(name = "--duration", usage = "virtual time after the warm-up, for example 600s")
  private String duration = "60s";

  @Option(name = "--batch-window", usage = "group commit window, for example 50ms")
  private String batchWindow;

  @Option(
      name = "--initial-members",
      usage = "nodes that must be seen before the fleet forms, the rest join; 0 for all")
  private int initialMembers;

  @Option(name = "--subject", usage = "product, push-all or polling")
  private String subject = "product";

  @Option(name = "--seeded-fault", metaVar = "NAME", usage = "deliberate fault of the product")
  private String seededFault;

  @Option(name = "--unshared", usage = "let each node compute and keep its states by itself")
  private boolean unshared;

  @Option(name = "--json", metaVar = "OUT", usage = "where to write the report")
  private Path json;

  @Option(name = "--trace-directory", usage = "where traces of failed runs go")
  private Path traceDirectory = Path.of(".");

  /** One name per run and seed; an empty name for no built-in case. */
  List<String> cases() {
    return fault == null ? List.of("") : FaultTable.expand(fault);
  }

  SimulationSettings settings(String faultCase) {
    FleetProfile chosen = FleetProfile.of(profile);
    return new SimulationSettings(
        chosen,
        orElse(nodes, chosen.nodes()),
        orElse(zones, chosen.zoneCount()),
        orElse(regions, chosen.regionCount()),
        changesPerDay,
        burst,
        endpointChurn,
        faultEvents(faultCase),
        seed,
        Durations.parseNanos(duration),
        timings(),
        subject());
  }

  private static int orElse(int given, int ofProfile) {
    return given == OF_PROFILE ? ofProfile : given;
  }

  private ControlTimings timings() {
    ControlTimings timings = ControlTimings.DEFAULT.withInitialMembers(initialMembers);
    return batchWindow == null
        ? timings
        : timings.withBatchWindow(Durations.parseNanos(batchWindow) / Durations.MILLI);
  }

  private Subject subject() {
    for (Subject.Kind kind : Subject.Kind.values()) {
      String label = kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
      if (label.equals(subject)) {
        return new Subject(kind, Optional.ofNullable(seededFault), !unshared);
      }
    }
    throw new IllegalArgumentException(
        "--subject '" + subject + "' is not product, push-all or polling");
  }

  private List<FaultEvent> faultEvents(String faultCase) {
    List<FaultEvent> events = new ArrayList<>();
    if (!faultCase.isEmpty()) {
      events.addAll(FaultTable.named(faultCase));
    }
    if (faults != null) {
      events.addAll(
          FaultFile.read(faults).getOrElseThrow(error -> new IllegalArgumentException(error)));
    }
    return events;
  }

  int seedCount() {
    return seeds;
  }

  Optional<Path> json() {
    return Optional.ofNullable(json);
  }

  Path traceDirectory() {
    return traceDirectory;
  }
}
