package io.umberpath.lab.cluster;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import io.umberpath.lab.backend.BackendSettings;
import io.umberpath.lab.backend.BackendStandIn;
import io.umberpath.lab.backend.RunLedger;
import io.umberpath.lab.platform.PlatformStandIn;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A deployment on loopback: the platform and the back ends in this process, each node a process of
 * its own. Closing it ends every process it started. Not thread-safe.
 */
public final class LocalCluster implements AutoCloseable {
  private static final int PLATFORM_HOST = 200;
  private static final List<String> JAVA_OPTIONS =
      List.of("-XX:+UseSerialGC", "-Xmx96m", "-Xss512k", "-XX:TieredStopAtLevel=1");
  private static final long STOP_SECONDS = 60;
  private static final Duration BOUND = Duration.ofMinutes(3);

  private final DeploymentProfile profile;
  private final LoopbackNetwork network;
  private final Path directory;
  private final String token = "operator-of-" + ProcessHandle.current().pid();
  private final RunLedger ledger = new RunLedger();
  private final List<NodeHandle> nodes = new ArrayList<>();
  private final Map<String, BackendStandIn> backends = new TreeMap<>();
  private final Thread killer = new Thread(this::killAll, "cluster-killer");
  private PlatformStandIn platform;

  private LocalCluster(DeploymentProfile profile) throws IOException {
    this.profile = profile;
    this.network = LoopbackNetwork.take();
    this.directory = Files.createTempDirectory("umberpath-lab");
  }

  /** Starts everything; the fleet then forms on its own. */
  public static LocalCluster start(DeploymentProfile profile) throws IOException {
    LocalCluster cluster = new LocalCluster(profile);
    Runtime.getRuntime().addShutdownHook(cluster.killer);
    try {
      cluster.startAll();
      return cluster;
    } catch (IOException failure) {
      cluster.close();
      throw failure;
    }
  }

  private void startAll() throws IOException {
    List<NodeSpec> specs = specs();
    long seed = 1;
    for (NodeSpec spec : specs) {
      if (!spec.isEdge()) {
        startBackend(spec, seed++);
      }
    }
    platform = PlatformStandIn.start(network.host(PLATFORM_HOST), Ports.PLATFORM, document(specs));
    List<String> seeds = specs.stream().filter(NodeSpec::isEdge).map(NodeSpec::control).toList();
    for (NodeSpec spec : specs) {
      Path settings = directory.resolve(spec.name() + ".yaml");
      SettingsFile.write(settings, profile, spec, seeds, specs.size(), platform.url(), token);
      Path log = directory.resolve(spec.name() + ".log");
      NodeHandle node = new NodeHandle(spec, settings, log.toFile(), JAVA_OPTIONS);
      nodes.add(node);
      node.start();
    }
  }

  private List<NodeSpec> specs() {
    List<NodeSpec> specs = new ArrayList<>();
    int host = 1;
    for (String zone : profile.zones()) {
      specs.add(new NodeSpec("edge-" + zone, network.host(host++), zone, Optional.empty()));
    }
    int index = 0;
    for (DeploymentProfile.Service service : profile.services()) {
      for (int number = 1; number <= service.backends(); number++) {
        String zone = profile.zones().get(index++ % profile.zones().size());
        String id = service.name() + "-" + number;
        specs.add(new NodeSpec(id, network.host(host++), zone, Optional.of(id)));
      }
    }
    return specs;
  }

  private void startBackend(NodeSpec spec, long seed) throws IOException {
    String id = spec.backendId().orElseThrow();
    BackendSettings settings = BackendSettings.standard(id, profile.probeMillis(), seed);
    backends.put(id, BackendStandIn.start(spec.host(), Ports.BACKEND, settings, ledger));
  }

  private PlatformDocument document(List<NodeSpec> specs) {
    SortedMap<String, List<PlatformDocument.BackendAddress>> services = new TreeMap<>();
    List<PlatformDocument.Machine> machines = new ArrayList<>();
    for (DeploymentProfile.Service service : profile.services()) {
      services.put(service.name(), new ArrayList<>());
    }
    for (NodeSpec spec : specs) {
      machines.add(
          new PlatformDocument.Machine(
              PeerAddress.parse(spec.control()),
              spec.zone(),
              profile.region(),
              PlatformDocument.MachineState.LIVE));
      spec.backendId()
          .ifPresent(id -> services.get(id.substring(0, id.lastIndexOf('-'))).add(address(spec)));
    }
    return new PlatformDocument(1, services, machines);
  }

  private static PlatformDocument.BackendAddress address(NodeSpec spec) {
    return new PlatformDocument.BackendAddress(
        spec.backendId().orElseThrow(),
        spec.host(),
        Ports.BACKEND,
        spec.zone(),
        spec.host(),
        Ports.HOP);
  }

  /** Waits until every node says that all of them are members of one fleet. */
  public void awaitFormed(VersionWatch watch) throws Exception {
    Conditions.await(
        "fleet of " + nodes.size(),
        BOUND,
        () -> {
          watch.poll();
          return nodes.stream().allMatch(node -> isMember(watch.of(node.spec())));
        });
  }

  private boolean isMember(VersionWatch.Seen seen) {
    return seen.report().filter(report -> report.members() == nodes.size()).isPresent();
  }

  /** Waits until every node says that it is ready. */
  public void awaitReady() throws Exception {
    AdminClient admin = new AdminClient();
    for (NodeHandle node : nodes) {
      Conditions.await(node.spec().name() + " ready", BOUND, () -> admin.isReady(node.spec()));
    }
  }

  /** The deployment it is. */
  public DeploymentProfile profile() {
    return profile;
  }

  /** All nodes, edge nodes first. */
  public List<NodeHandle> nodes() {
    return List.copyOf(nodes);
  }

  /** The node beside a back end, by index among them. */
  public NodeHandle backendNode(int index) {
    return nodes.get(profile.zones().size() + index);
  }

  /** Back ends by id. */
  public Map<String, BackendStandIn> backends() {
    return Map.copyOf(backends);
  }

  /** The platform. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** What ran at all back ends. */
  public RunLedger ledger() {
    return ledger;
  }

  /** Settings and log files of the nodes. */
  public Path directory() {
    return directory;
  }

  /**
   * Removes {@link #directory}, which otherwise stays for inspection; call it after the nodes end.
   */
  public void deleteFiles() throws IOException {
    MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
  }

  /** Callers' URLs, one per zone. */
  public List<URI> edges() {
    return nodes.stream()
        .map(NodeHandle::spec)
        .filter(NodeSpec::isEdge)
        .map(spec -> URI.create("http://" + spec.host() + ":" + Ports.EDGE))
        .toList();
  }

  /** URLs of the back ends of one service, past every node. */
  public List<URI> direct(DeploymentProfile.Service service) {
    return nodes.stream()
        .map(NodeHandle::spec)
        .filter(spec -> spec.backendId().orElse("").startsWith(service.name() + "-"))
        .map(spec -> URI.create("http://" + spec.host() + ":" + Ports.BACKEND))
        .toList();
  }

  /** A client of one node's operators' port. */
  public OperatorClient operator(NodeHandle node) {
    return new OperatorClient(node.spec(), token);
  }

  /** A watch over the versions in force. */
  public VersionWatch watch() {
    return new VersionWatch(nodes);
  }

  /** Asks every node for a planned stop; names those that had to be killed. */
  public List<String> stopNodes() throws InterruptedException {
    nodes.stream().filter(NodeHandle::isAlive).forEach(NodeHandle::stop);
    List<String> killed = new ArrayList<>();
    for (NodeHandle node : nodes) {
      if (!node.awaitEnd(STOP_SECONDS)) {
        node.kill();
        killed.add(node.spec().name());
      }
    }
    return killed;
  }

  @Override
  public void close() throws IOException {
    killAll();
    backends.values().forEach(BackendStandIn::close);
    if (platform != null) {
      platform.close();
    }
    network.close();
    try {
      Runtime.getRuntime().removeShutdownHook(killer);
    } catch (IllegalStateException shuttingDown) {
      // The hook is running already.
      return;
    }
  }

  private void killAll() {
    for (NodeHandle node : nodes) {
      if (node.isAlive()) {
        try {
          node.kill();
        } catch (InterruptedException interrupted) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }
}
