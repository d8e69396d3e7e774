package io.umberpath.node.control;

import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Pool;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A fleet of control runtimes in this process, on real sockets with ephemeral ports. */
final class RuntimeFleet implements AutoCloseable {
  static final String SERVICE = "booking";

  private static final long AWAIT_TIMEOUT_SECONDS = 60;

  final List<RuntimeNode> nodes = new ArrayList<>();
  final AtomicReference<PlatformDocument> platform = new AtomicReference<>(document());
  private final List<PeerAddress> seeds;

  RuntimeFleet(int size) throws IOException {
    for (int index = 0; index < size; index++) {
      nodes.add(new RuntimeNode(new PeerAddress("127.0.0.1", 0), 1_000 + index, platform));
    }
    seeds = nodes.stream().limit(2).map(node -> node.address).toList();
    for (RuntimeNode node : nodes) {
      node.start(seeds, size);
    }
  }

  private static PlatformDocument document() {
    TreeMap<String, List<PlatformDocument.BackendAddress>> services = new TreeMap<>();
    services.put(
        SERVICE,
        List.of(
            new PlatformDocument.BackendAddress(
                "booking-1", "127.0.0.1", 9_001, "zone-0", "127.0.0.1", 9_002)));
    return new PlatformDocument(1, services, List.of());
  }

  RuntimeNode leader() {
    await("a leader", () -> nodes.stream().anyMatch(RuntimeNode::isLeader));
    return nodes.stream().filter(RuntimeNode::isLeader).findAny().orElseThrow();
  }

  RuntimeNode follower() {
    RuntimeNode leader = leader();
    return nodes.stream().filter(node -> node != leader).findFirst().orElseThrow();
  }

  void awaitFormed() {
    await(
        "the whole fleet in the roster everywhere",
        () -> nodes.stream().allMatch(node -> rosterSize(node) == nodes.size()));
  }

  private static int rosterSize(RuntimeNode node) {
    ControlStatus status = node.status();
    return status.self().slot() < 0 ? 0 : status.committed().roster().size();
  }

  void awaitActive(Version version) {
    await(
        "version " + version + " active everywhere",
        () ->
            nodes.stream()
                .allMatch(node -> node.runtime.snapshot().version().compareTo(version) >= 0));
  }

  /** Starts a new node at the address of a killed one. */
  RuntimeNode restart(RuntimeNode killed, long incarnation) throws IOException {
    RuntimeNode restarted = new RuntimeNode(killed.address, incarnation, platform);
    nodes.set(nodes.indexOf(killed), restarted);
    restarted.start(seeds, nodes.size());
    return restarted;
  }

  static ChangeSet poolChange(String name) {
    Pool pool = new Pool(name, "tenant", Tier.PREMIUM, SERVICE, 6, 130);
    return new ChangeSet(
        "request-" + name,
        "tenant",
        Tier.PREMIUM,
        Optional.empty(),
        List.of(pool),
        List.of(),
        List.of());
  }

  static boolean hasPool(RuntimeNode node, String pool) {
    return node.status()
        .committed()
        .resources()
        .containsKey(new ResourceKey(ResourceKind.POOL, pool));
  }

  static void await(String what, BooleanSupplier condition) {
    long deadline = System.nanoTime() + Duration.ofSeconds(AWAIT_TIMEOUT_SECONDS).toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("not reached: " + what);
      }
      LockSupport.parkNanos(2_000_000);
    }
  }

  /**
   * Asserts that no node activated an older version or platform revision than before.
   *
   * @param activations activated snapshots by node address, in order over all incarnations
   */
  static void assertMonotonic(Map<PeerAddress, List<ProxySnapshot>> activations) {
    activations.forEach(
        (address, snapshots) -> {
          for (int index = 1; index < snapshots.size(); index++) {
            ProxySnapshot before = snapshots.get(index - 1);
            ProxySnapshot after = snapshots.get(index);
            if (before.version().isAfter(after.version()) || before.revision() > after.revision()) {
              throw new AssertionError(
                  address + " went from " + before.version() + " back to " + after.version());
            }
          }
        });
  }

  @Override
  public void close() {
    nodes.forEach(RuntimeNode::close);
  }
}
