package io.umberpath.node.proxy;

import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.Pool;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Route;
import io.umberpath.model.Secret;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.umberpath.node.settings.NodeSettings;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/** An edge proxy and one hop proxy beside each given backend, on loopback. */
final class ProxyFixture implements AutoCloseable {
  static final int MAX_HEADER_BYTES = 8 * 1024;
  static final long MAX_BODY_BYTES = 200_000_000;
  static final long TIMEOUT_MILLIS = 60_000;
  private static final int SLOTS = 6;
  private static final int QUEUE = 64;

  final FakeControlService control = new FakeControlService();
  final AtomicLong advancedMillis = new AtomicLong();
  private volatile long stoppedMillis;
  final List<ProxyServer> hops = new ArrayList<>();
  final ProxyServer edge;
  private final long probeMillis;

  ProxyFixture(ScriptedBackend... backends) throws IOException {
    this(0, ports(backends));
  }

  /** Creates proxies that probe their backends at the given interval; 0 for no probes. */
  ProxyFixture(long probeMillis, int... backendPorts) throws IOException {
    this.probeMillis = probeMillis;
    List<BackendAddress> addresses = new ArrayList<>();
    for (int port : backendPorts) {
      addresses.add(startHop(port));
    }
    control.snapshot = snapshot(1, TIMEOUT_MILLIS, addresses);
    edge =
        new ProxyServer(
            settings(0, -1, Optional.empty()), "zone", control, ProxyStats.NONE, this::clock);
    edge.start();
  }

  /** Advances the clock of the proxies. */
  void advance(long millis) {
    advancedMillis.addAndGet(millis);
  }

  /** From now on the clock of the proxies only moves when it is advanced. */
  void stopClock() {
    stoppedMillis = System.nanoTime() / 1_000_000;
  }

  private long clock() {
    long stopped = stoppedMillis;
    return (stopped == 0 ? System.nanoTime() / 1_000_000 : stopped) + advancedMillis.get();
  }

  private static int[] ports(ScriptedBackend... backends) {
    return java.util.Arrays.stream(backends).mapToInt(ScriptedBackend::port).toArray();
  }

  private BackendAddress startHop(int port) throws IOException {
    String id = "backend-" + hops.size();
    NodeSettings.Backend backend =
        new NodeSettings.Backend(id, "127.0.0.1", port, SLOTS, 130, probeMillis);
    ProxyServer hop =
        new ProxyServer(
            settings(-1, 0, Optional.of(backend)), "zone", control, ProxyStats.NONE, this::clock);
    hop.start();
    hops.add(hop);
    return new BackendAddress(id, "127.0.0.1", port, "zone", "127.0.0.1", hop.hopPort());
  }

  static NodeSettings.Proxy settings(
      int edgePort, int hopPort, Optional<NodeSettings.Backend> backend) {
    return new NodeSettings.Proxy(
        "127.0.0.1", edgePort, hopPort, backend, 5_000, MAX_HEADER_BYTES, MAX_BODY_BYTES, QUEUE);
  }

  static ProxySnapshot snapshot(long sequence, long timeoutMillis, List<BackendAddress> addresses) {
    Pool pool = new Pool("pool", "tenant", Tier.STANDARD, "service", SLOTS, 130);
    Route route =
        new Route(
            "route",
            "tenant",
            Tier.STANDARD,
            "*",
            "/",
            "pool",
            Optional.of("token"),
            Set.of("GET", "HEAD", "PUT"),
            timeoutMillis);
    Secret secret =
        new Secret("token", "tenant", Tier.STANDARD, "s3cret".getBytes(StandardCharsets.US_ASCII));
    List<ProxySnapshot.BackendView> views =
        addresses.stream().map(address -> new ProxySnapshot.BackendView(address, false)).toList();
    return new ProxySnapshot(
        new Version(1, sequence),
        1,
        List.of(route),
        Map.of("pool", new ProxySnapshot.PoolView(pool, views)),
        Map.of("token", secret));
  }

  RawConnection connect() throws IOException {
    return new RawConnection(edge.edgePort());
  }

  @Override
  public void close() {
    edge.close();
    hops.forEach(ProxyServer::close);
  }
}
