package io.umberpath.lab.transport;

import io.umberpath.lab.OptionsCommand;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.PlatformDocument.Machine;
import io.umberpath.model.PlatformDocument.MachineState;
import io.umberpath.model.Pool;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Resource;
import io.umberpath.model.Route;
import io.umberpath.model.Secret;
import io.umberpath.model.StateDelta;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.kohsuke.args4j.Option;

/**
 * {@code umberpath-lab state-memory}: heap that one node's state takes: agreed state, platform
 * document and the snapshot composed of both, by the difference of used heap after collections.
 */
public final class StateMemoryCommand extends OptionsCommand {
  private static final int ZONES = 8;
  private static final int REGIONS = 3;
  private static final int COLLECTIONS = 3;
  private static final int SECRET_BYTES = 32;
  private static final double KIBIBYTE = 1_024.0;

  @Option(name = "--members", metaVar = "N", usage = "nodes, one back end beside each")
  private int members = 5_900;

  @Option(name = "--services", metaVar = "N", usage = "services; a pool, route and secret of each")
  private int services = 200;

  @Override
  public String name() {
    return "state-memory";
  }

  @Override
  public String summary() {
    return "print the heap that a node's state takes";
  }

  @Override
  protected int run(PrintStream out) {
    loadClasses();
    long before = usedHeap();
    FleetState agreed = agreed();
    long withAgreed = usedHeap();
    PlatformDocument document = document();
    long withDocument = usedHeap();
    ProxySnapshot snapshot = ProxySnapshot.compose(agreed, document).get();
    long withSnapshot = usedHeap();
    out.printf("members %d, services %d%n", agreed.roster().size(), services);
    print(out, "agreed state", withAgreed - before);
    print(out, "platform document", withDocument - withAgreed);
    print(out, "composed snapshot", withSnapshot - withDocument);
    print(out, "all", withSnapshot - before);
    boolean whole = snapshot.routes().size() == services && document.machines().size() == members;
    return whole ? EXIT_SUCCESS : EXIT_FAILED;
  }

  /** Loads every class first, so that the difference holds data only. */
  private void loadClasses() {
    ProxySnapshot.compose(agreed(), document());
  }

  private static void print(PrintStream out, String name, long bytes) {
    out.printf("%-20s %10.1f KiB%n", name, bytes / KIBIBYTE);
  }

  private static long usedHeap() {
    for (int round = 0; round < COLLECTIONS; round++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private FleetState agreed() {
    List<Member> roster = IntStream.range(0, members).mapToObj(this::member).toList();
    StateDelta delta =
        new StateDelta(
            Version.NONE,
            FleetState.EMPTY.contentHash(),
            new Version(1, 1),
            0,
            resources(),
            List.of(),
            List.of(),
            List.of(),
            roster,
            StateDelta.RosterBasis.SETTLED,
            Optional.empty(),
            List.of(),
            List.of(),
            members);
    return StateDeltas.produce(delta, FleetState.EMPTY);
  }

  private Member member(int number) {
    return new Member(number, control(number), number, "zone-" + zone(number), region(number));
  }

  private List<Resource> resources() {
    List<Resource> resources = new ArrayList<>();
    for (int number = 0; number < services; number++) {
      String tenant = "tenant-" + number;
      String name = "service-" + number;
      resources.add(new Pool(name, tenant, Tier.STANDARD, name, 6, 130));
      resources.add(new Secret(name, tenant, Tier.STANDARD, new byte[SECRET_BYTES]));
      resources.add(
          new Route(
              name,
              tenant,
              Tier.STANDARD,
              name + ".example",
              "/" + name,
              name,
              Optional.of(name),
              Set.of("GET", "HEAD"),
              3_000));
    }
    return resources;
  }

  private PlatformDocument document() {
    TreeMap<String, List<BackendAddress>> byService = new TreeMap<>();
    for (int number = 0; number < members; number++) {
      String service = "service-" + number % services;
      byService.computeIfAbsent(service, name -> new ArrayList<>()).add(backend(number));
    }
    for (int number = 0; number < services; number++) {
      byService.putIfAbsent("service-" + number, List.of());
    }
    List<Machine> machines = IntStream.range(0, members).mapToObj(this::machine).toList();
    return new PlatformDocument(1, byService, machines);
  }

  private BackendAddress backend(int number) {
    String host = control(number).host();
    return new BackendAddress(
        "backend-" + number, host, 9_000, "zone-" + zone(number), host, 7_200);
  }

  private Machine machine(int number) {
    return new Machine(control(number), "zone-" + zone(number), region(number), MachineState.LIVE);
  }

  private static PeerAddress control(int number) {
    return new PeerAddress("10." + zone(number) + "." + number / 250 + "." + number % 250, 7_100);
  }

  private static int zone(int number) {
    return number % ZONES;
  }

  private static String region(int number) {
    return "region-" + zone(number) % REGIONS;
  }
}
