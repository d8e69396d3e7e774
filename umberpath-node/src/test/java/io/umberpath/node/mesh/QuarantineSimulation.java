package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates a fleet in virtual time: nodes with one backend each, which decide about requests with
 * the production classes, over a network with delay and loss. Clients send requests to random
 * nodes. Poison requests crash each backend that runs them, and their clients soon resend them to a
 * random node.
 */
final class QuarantineSimulation {
  /** Disturbances besides the requests. */
  enum Disturbance {
    /** Three percent of the datagrams are lost. */
    DATAGRAM_LOSS,
    /** One zone is partitioned from the others for some seconds. */
    ZONE_PARTITION,
    /** Nodes restart one after the other. */
    NODE_RESTARTS,
    /** A third of the backends is killed at regular intervals. */
    BACKEND_KILLS
  }

  /** The simulated fleet, load and disturbances. */
  record Scenario(
      int nodes, int requestsPerSecond, int poisonRequests, Set<Disturbance> disturbances) {
    static Scenario undisturbed(int nodes, int requestsPerSecond, int poisonRequests) {
      return new Scenario(nodes, requestsPerSecond, poisonRequests, Set.of());
    }

    Scenario with(Disturbance... more) {
      return new Scenario(nodes, requestsPerSecond, poisonRequests, Set.of(more));
    }

    boolean has(Disturbance disturbance) {
      return disturbances.contains(disturbance);
    }

    double loss() {
      return has(Disturbance.DATAGRAM_LOSS) ? LOSS_SHARE : 0;
    }
  }

  /**
   * The rule by which requests are quarantined.
   *
   * @param crashesToQuarantine crashes from which on a request is quarantined
   * @param isolatesSuspects whether a suspect never runs beside another suspect
   */
  record QuarantinePolicy(String name, int crashesToQuarantine, boolean isolatesSuspects) {}

  /**
   * Results of a simulation.
   *
   * @param crashes backend crashes caused by poison requests
   * @param lateArrivals highest number of arrivals of one poison request that were sent by
   *     connected nodes more than three seconds after its third crash
   * @param ordinaryRequests ordinary requests, not counting client retries
   * @param wronglyHeld attempts to send ordinary requests that were refused as quarantined
   * @param failed ordinary requests that failed for another reason
   * @param datagramsPerNode datagrams about suspects sent per node
   * @param slowestNodeMillis time from the third crash until the last node holds the poison
   *     request; -1 if that never happened
   */
  record Outcome(
      int crashes,
      int lateArrivals,
      int ordinaryRequests,
      int wronglyHeld,
      int failed,
      double datagramsPerNode,
      long slowestNodeMillis) {}

  private static final int ZONES = 4;
  private static final long SIMULATED_MILLIS = 40_000;
  private static final double LOSS_SHARE = 0.03;
  private static final int SLOTS = 6;
  private static final long POISON_RUN_MILLIS = 100;
  private static final long TICK_MILLIS = 50;
  private static final long REPORT_INTERVAL_MILLIS = 250;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long PARTITION_START_MILLIS = 5_000;
  private static final long PARTITION_END_MILLIS = 12_000;
  private static final long RESTART_INTERVAL_MILLIS = 700;
  private static final long KILL_INTERVAL_MILLIS = 9_000;
  private static final int MAX_ATTEMPTS = 2;
  private static final int MAX_CLIENT_TRIES = 2;
  private static final int CLIENTS_PER_POISON_REQUEST = 2;
  private static final int POPULAR_REQUESTS = 50;
  private static final double POPULAR_SHARE = 0.1;

  /** With this constant clock, only the first lines within the rate limit are logged. */
  private static final MeshEvents EVENTS = new MeshEvents(() -> 0);

  /** An action scheduled at a time. */
  private record Event(long atMillis, long order, Runnable action) {}

  private final class Node {
    private final int index;
    private final int zone;
    private SuspectRegistry registry;
    private RequestQuarantine quarantine;
    private SuspectExchange exchange;
    private long startedMillis = -CONTACT_MILLIS;
    private Backend backend;

    Node(int index) {
      this.index = index;
      this.zone = index % ZONES;
      this.backend = new Backend(this, index + "-0");
      clearSuspects();
    }

    private void clearSuspects() {
      registry = new SuspectRegistry(policy.crashesToQuarantine());
      quarantine = new RequestQuarantine(registry, (request, count) -> false, EVENTS, () -> now);
      exchange = new SuspectExchange(quarantine, () -> hosts, this::send, () -> now);
    }

    private void send(List<byte[]> datagrams, Collection<String> hosts) {
      for (String host : hosts) {
        Node to = nodes.get(Integer.parseInt(host));
        if (to != this) {
          datagrams.forEach(bytes -> transmit(bytes, to));
        }
      }
    }

    private void transmit(byte[] bytes, Node to) {
      sentDatagrams++;
      if (canReach(this, to) && random.nextDouble() >= scenario.loss()) {
        after(1 + random.nextInt(3), () -> receive(bytes, to));
      }
    }

    private void receive(byte[] bytes, Node to) {
      try {
        to.quarantine.merge((SuspectMessage) PeerDatagram.decode(bytes, bytes.length));
      } catch (IOException malformed) {
        throw new UncheckedIOException(malformed);
      }
    }
  }

  private static final class Backend {
    private final Node node;
    private final String id;

    /** In start order, so that runs with the same seed are identical. */
    private final Set<Request> running = new LinkedHashSet<>();

    private boolean crashed;

    Backend(Node node, String id) {
      this.node = node;
      this.id = id;
    }
  }

  private static final class PoisonRequest {
    private final RequestFingerprint fingerprint;
    private int crashes;
    private long thirdCrashMillis = Long.MAX_VALUE;
    private int lateArrivals;

    PoisonRequest(RequestFingerprint fingerprint) {
      this.fingerprint = fingerprint;
    }
  }

  /** One client try of a request. */
  private static final class Request {
    private final RequestFingerprint fingerprint;
    private final PoisonRequest poison;
    private final int tries;
    private Node entryNode;
    private int attempts;

    Request(RequestFingerprint fingerprint, PoisonRequest poison, int tries) {
      this.fingerprint = fingerprint;
      this.poison = poison;
      this.tries = tries;
    }
  }

  private final Scenario scenario;
  private final QuarantinePolicy policy;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private final List<Node> nodes = new ArrayList<>();
  private final List<String> hosts = new ArrayList<>();
  private final List<PoisonRequest> poisonRequests = new ArrayList<>();
  private long now;
  private long order;
  private long nextUnique = 1_000_000;
  private int startCount;
  private int crashes;
  private int ordinaryRequests;
  private int wronglyHeld;
  private int failed;
  private long sentDatagrams;
  private long slowestNodeMillis = -1;

  QuarantineSimulation(Scenario scenario, QuarantinePolicy policy, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    this.random = new Random(seed);
  }

  Outcome run() {
    for (int index = 0; index < scenario.nodes(); index++) {
      nodes.add(new Node(index));
      hosts.add(Integer.toString(index));
    }
    for (int index = 0; index < scenario.poisonRequests(); index++) {
      PoisonRequest poison = new PoisonRequest(fingerprint(100 + index));
      poisonRequests.add(poison);
      for (int client = 0; client < CLIENTS_PER_POISON_REQUEST; client++) {
        after(2_000 + random.nextInt(500), () -> sendPoisonRequest(poison));
      }
    }
    after(0, this::sendOrdinaryRequest);
    after(0, this::tick);
    if (scenario.has(Disturbance.NODE_RESTARTS)) {
      after(RESTART_INTERVAL_MILLIS, this::restartOne);
    }
    if (scenario.has(Disturbance.BACKEND_KILLS)) {
      after(KILL_INTERVAL_MILLIS, this::killThird);
    }
    while (!events.isEmpty() && events.peek().atMillis() < SIMULATED_MILLIS) {
      Event next = events.poll();
      now = next.atMillis();
      next.action().run();
    }
    int lateArrivals = poisonRequests.stream().mapToInt(each -> each.lateArrivals).max().orElse(0);
    double datagrams = sentDatagrams / (double) scenario.nodes();
    return new Outcome(
        crashes, lateArrivals, ordinaryRequests, wronglyHeld, failed, datagrams, slowestNodeMillis);
  }

  private void after(long millis, Runnable action) {
    events.add(new Event(now + millis, order++, action));
  }

  private static RequestFingerprint fingerprint(long number) {
    return new RequestFingerprint(number * 0x9e3779b97f4a7c15L, number);
  }

  private boolean canReach(Node from, Node to) {
    boolean partitioned =
        scenario.has(Disturbance.ZONE_PARTITION)
            && now >= PARTITION_START_MILLIS
            && now < PARTITION_END_MILLIS;
    return !partitioned || (from.zone == 0) == (to.zone == 0);
  }

  private boolean isConnected(Node node) {
    boolean partitioned =
        scenario.has(Disturbance.ZONE_PARTITION)
            && now >= PARTITION_START_MILLIS
            && now < PARTITION_END_MILLIS + CONTACT_MILLIS;
    return now >= node.startedMillis + CONTACT_MILLIS && !(partitioned && node.zone == 0);
  }

  private Node anyNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  private void sendOrdinaryRequest() {
    boolean popular = random.nextDouble() < POPULAR_SHARE;
    long number = popular ? 1_000 + random.nextInt(POPULAR_REQUESTS) : nextUnique++;
    start(new Request(fingerprint(number), null, 1), anyNode());
    double gap = -Math.log(1 - random.nextDouble()) * 1_000 / scenario.requestsPerSecond();
    // Several requests may arrive within one millisecond.
    after(Math.round(gap), this::sendOrdinaryRequest);
  }

  private void sendPoisonRequest(PoisonRequest poison) {
    start(new Request(poison.fingerprint, poison, 1), anyNode());
  }

  private void start(Request request, Node entryNode) {
    if (request.poison == null && request.tries == 1) {
      ordinaryRequests++;
    }
    request.entryNode = entryNode;
    dispatch(request);
  }

  private void dispatch(Request request) {
    Node entryNode = request.entryNode;
    if (entryNode.quarantine.blocksOutbound(request.fingerprint)) {
      handleQuarantined(request);
      return;
    }
    Backend chosen = choose(request);
    if (chosen == null) {
      retryOrFail(request);
      return;
    }
    request.attempts++;
    recordArrival(request);
    chosen.running.add(request);
    long millis = request.poison == null ? 20 + random.nextInt(160) : POISON_RUN_MILLIS;
    after(millis, () -> finish(request, chosen));
  }

  /**
   * Returns the least loaded of eight drawn backends that may run the request; null if none may.
   */
  private Backend choose(Request request) {
    Backend best = null;
    for (int draw = 0; draw < 8; draw++) {
      Backend drawn = anyNode().backend;
      if (mayRun(request, drawn) && (best == null || drawn.running.size() < best.running.size())) {
        best = drawn;
      }
    }
    return best;
  }

  private boolean mayRun(Request request, Backend backend) {
    boolean hasRoom = !backend.crashed && backend.running.size() < SLOTS;
    if (!hasRoom || !canReach(request.entryNode, backend.node)) {
      return false;
    }
    RequestQuarantine backendQuarantine = backend.node.quarantine;
    if (backendQuarantine.blocksInbound(request.fingerprint)) {
      return false;
    }
    return !policy.isolatesSuspects()
        || !isSuspect(backend.node, request)
        || backend.running.stream()
            .noneMatch(
                other ->
                    !other.fingerprint.equals(request.fingerprint)
                        && isSuspect(backend.node, other));
  }

  private static boolean isSuspect(Node node, Request request) {
    return node.registry.crashCount(request.fingerprint) > 0;
  }

  private void recordArrival(Request request) {
    PoisonRequest poison = request.poison;
    if (poison != null
        && now - CONTACT_MILLIS > poison.thirdCrashMillis
        && isConnected(request.entryNode)) {
      poison.lateArrivals++;
    }
  }

  private void finish(Request request, Backend backend) {
    if (!backend.running.contains(request)) {
      return;
    }
    if (request.poison != null) {
      crashes++;
      recordCrash(request.poison);
      crash(backend);
      return;
    }
    backend.running.remove(request);
    backend.node.quarantine.recordSuccess(request.fingerprint);
  }

  private void recordCrash(PoisonRequest poison) {
    poison.crashes++;
    if (poison.crashes == 3) {
      poison.thirdCrashMillis = now;
      awaitQuarantinedEverywhere(poison, now);
    }
  }

  private void awaitQuarantinedEverywhere(PoisonRequest poison, long sinceMillis) {
    boolean heldEverywhere =
        nodes.stream().allMatch(node -> node.quarantine.blocksOutbound(poison.fingerprint));
    if (heldEverywhere) {
      slowestNodeMillis = Math.max(slowestNodeMillis, now - sinceMillis);
    } else {
      after(10, () -> awaitQuarantinedEverywhere(poison, sinceMillis));
    }
  }

  private void crash(Backend backend) {
    Node node = backend.node;
    List<Request> lost = List.copyOf(backend.running);
    backend.crashed = true;
    backend.running.clear();
    Set<RequestFingerprint> suspects = new LinkedHashSet<>();
    lost.forEach(each -> suspects.add(each.fingerprint));
    if (!suspects.isEmpty()) {
      RequestQuarantine witness = node.quarantine;
      after(
          TICK_MILLIS, () -> witness.recordBackendCrash(new BackendStart(backend.id, 0), suspects));
    }
    after(3_000 + random.nextInt(2_000), () -> node.backend = new Backend(node, nextId(node)));
    for (Request request : lost) {
      after(1, () -> attemptLost(request));
    }
  }

  private String nextId(Node node) {
    startCount++;
    return node.index + "-" + startCount;
  }

  private void attemptLost(Request request) {
    if (request.attempts < MAX_ATTEMPTS) {
      dispatch(request);
    } else {
      retryOrFail(request);
    }
  }

  private void handleQuarantined(Request request) {
    if (request.poison == null) {
      wronglyHeld++;
      return;
    }
    retryOrFail(request);
  }

  private void retryOrFail(Request request) {
    if (request.poison != null) {
      after(50 + random.nextInt(200), () -> sendPoisonRequest(request.poison));
    } else if (request.tries < MAX_CLIENT_TRIES) {
      after(20, () -> start(new Request(request.fingerprint, null, request.tries + 1), anyNode()));
    } else {
      failed++;
    }
  }

  private void tick() {
    nodes.forEach(node -> node.exchange.sendUnsent());
    if (now % REPORT_INTERVAL_MILLIS == 0) {
      nodes.forEach(this::report);
    }
    after(TICK_MILLIS, this::tick);
  }

  private void report(Node node) {
    for (int contact = 0; contact < 2; contact++) {
      Node to = anyNode();
      if (canReach(node, to) && random.nextDouble() >= scenario.loss()) {
        to.exchange.digestReceived(Integer.toString(node.index), node.quarantine.digest());
      }
    }
  }

  private void restartOne() {
    Node node = anyNode();
    node.clearSuspects();
    node.startedMillis = now;
    after(RESTART_INTERVAL_MILLIS, this::restartOne);
  }

  private void killThird() {
    nodes.stream()
        .filter(node -> !node.backend.crashed && random.nextInt(3) == 0)
        .forEach(node -> crash(node.backend));
    after(KILL_INTERVAL_MILLIS, this::killThird);
  }
}
