package io.umberpath.node.mesh;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreRequest;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.control.store.StoreWatcher.Step;
import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;

/**
 * A fleet in virtual time. Nodes use the production code for their state, for the timing of store
 * calls and for the choice of transfer sources; the network and the store have delays. Each zone
 * has one reader that the store answers, and two readers of the fleet call it promptly. Reports are
 * sent when a reader has changes and to three nodes of the zone every round, digests once a second.
 */
final class SimulatedFleet {
  private static final int EXCHANGE_PORT = 7_000;
  private static final int PROMPT_READERS = 2;
  private static final int GOSSIP_TARGETS = 3;
  private static final long ROUND_MILLIS = 250;
  private static final long DIGEST_MILLIS = 1_000;
  private static final long STORE_MILLIS = 10;
  private static final long DATAGRAM_MILLIS = 2;
  private static final long FAR_DATAGRAM_MILLIS = 5;
  private static final long HALF_TRANSFER_MILLIS = 15;
  private static final long TRANSFER_TIMEOUT_MILLIS = 2_000;
  private static final MeshEvents EVENTS = new MeshEvents(() -> 0);

  private record ScheduledTask(long atMillis, long order, Runnable task) {}

  /** A watch that is pending at the store. */
  private record PendingWatch(Node node, long afterRevision, long untilMillis) {}

  final class Node {
    final int index;
    final int zone;
    final String host;
    final MeshState state;
    private final TransferSchedule schedule;
    private boolean isAnnouncing;
    private boolean isPulling;

    /** Whether this node sends new requests to the draining backend. */
    boolean sendsToDrainingBackend() {
      return state.view().backends().readyBackends("booking").stream()
          .anyMatch(entry -> entry.id().equals("b-0"));
    }

    private Node(int index, int zone) {
      this.index = index;
      this.zone = zone;
      this.host = "10." + zone + "." + index / 250 + "." + (1 + index % 250);
      this.state =
          new MeshState(
              new FakeStoreItemParser(),
              new StoreWatcher("", StoreWatchTimings.PROMPT, random::nextDouble),
              EVENTS,
              () -> now);
      this.schedule = new TransferSchedule(List.of(), EXCHANGE_PORT, true, () -> random);
    }
  }

  private final Random random;
  private final StoreModel store;
  private final int zones;
  private final List<Node> nodes = new ArrayList<>();
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private final PriorityQueue<ScheduledTask> queue =
      new PriorityQueue<>(
          (one, other) ->
              one.atMillis() != other.atMillis()
                  ? Long.compare(one.atMillis(), other.atMillis())
                  : Long.compare(one.order(), other.order()));
  private long order;
  private long now;
  private boolean isStoreDown;
  private int isolatedZone = -1;
  private Predicate<Node> isRefused = node -> false;
  private int storeCalls;
  private int fullReads;
  private long transferBytes;

  SimulatedFleet(int size, int zones, long seed, StoreModel store) {
    this.random = new Random(seed);
    this.zones = zones;
    this.store = store;
    for (int index = 0; index < size; index++) {
      nodes.add(new Node(index, index % zones));
    }
    // The store refuses a third of the nodes of each zone.
    this.isRefused = node -> node.index / zones % 3 == 0;
    for (Node node : nodes) {
      node.schedule.start(0);
      schedule(random.nextInt((int) ROUND_MILLIS), () -> runRound(node));
      if (isReader(node)) {
        schedule(random.nextInt(500), () -> callStore(node));
      }
    }
  }

  List<Node> nodes() {
    return nodes;
  }

  long now() {
    return now;
  }

  int storeCalls() {
    return storeCalls;
  }

  int fullReads() {
    return fullReads;
  }

  long transferBytes() {
    return transferBytes;
  }

  int readers() {
    return (int) nodes.stream().filter(this::isReader).count();
  }

  /** Schedules a task at a time. */
  void schedule(long millis, Runnable task) {
    queue.add(new ScheduledTask(millis, order++, task));
  }

  private void scheduleAfter(long millis, Runnable task) {
    schedule(now + millis, task);
  }

  void runUntil(long millis) {
    while (!queue.isEmpty() && queue.peek().atMillis() <= millis) {
      ScheduledTask next = queue.remove();
      now = next.atMillis();
      next.task().run();
    }
    now = millis;
  }

  /** Takes the store down, or up again. */
  void setStoreDown(boolean isDown) {
    isStoreDown = isDown;
    List<PendingWatch> failed = List.copyOf(pendingWatches);
    pendingWatches.clear();
    failed.forEach(
        pending -> deliverAfterDelay(pending.node(), new StoreResponse.Unavailable("cut")));
  }

  /** Partitions a zone from the store and the other zones; -1 for none. */
  void isolateZone(int zone) {
    isolatedZone = zone;
  }

  /** Answers pending watches after a change of the store. */
  void onStoreChange() {
    List<PendingWatch> notified = new ArrayList<>(pendingWatches);
    pendingWatches.clear();
    for (PendingWatch pending : notified) {
      if (isIsolated(pending.node())) {
        pendingWatches.add(pending);
      } else {
        deliverAfterDelay(
            pending.node(), store.respond(new StoreRequest.Watch("", pending.afterRevision(), 0)));
      }
    }
  }

  private boolean isIsolated(Node node) {
    return node.zone == isolatedZone;
  }

  private boolean canReach(Node one, Node other) {
    return one.zone == other.zone || (one.zone != isolatedZone && other.zone != isolatedZone);
  }

  /** Whether the node is the first of its zone that the store answers. */
  private boolean isReader(Node node) {
    return !isRefused.test(node)
        && nodes.stream()
            .filter(each -> each.zone == node.zone && !isRefused.test(each))
            .findFirst()
            .filter(first -> first == node)
            .isPresent();
  }

  private boolean isPrompt(Node node) {
    return node.zone < PROMPT_READERS;
  }

  private void callStore(Node node) {
    node.state
        .watcher()
        .updateSettings(isPrompt(node) ? StoreWatchTimings.PROMPT : StoreWatchTimings.STANDBY);
    Step step = node.state.watcher().nextStep(now);
    if (step instanceof Step.Wait wait) {
      schedule(Math.max(now + 1, wait.untilMillis()), () -> callStore(node));
      return;
    }
    storeCalls++;
    StoreRequest call = ((Step.Call) step).call();
    if (isStoreDown || isIsolated(node)) {
      deliverAfterDelay(node, new StoreResponse.Unavailable("away"));
    } else if (call instanceof StoreRequest.Watch watch) {
      watch(node, watch);
    } else {
      fullReads += ((StoreRequest.Read) call).after().isEmpty() ? 1 : 0;
      deliverAfterDelay(node, store.respond(call));
    }
  }

  private void watch(Node node, StoreRequest.Watch watch) {
    StoreResponse immediate = store.respond(watch);
    boolean waits = immediate instanceof StoreResponse.Events events && events.events().isEmpty();
    if (!waits) {
      deliverAfterDelay(node, immediate);
      return;
    }
    PendingWatch pending = new PendingWatch(node, watch.afterRevision(), now + watch.waitMillis());
    pendingWatches.add(pending);
    schedule(
        pending.untilMillis(),
        () -> {
          if (pendingWatches.remove(pending)) {
            deliverAfterDelay(node, immediate);
          }
        });
  }

  private void deliverAfterDelay(Node node, StoreResponse response) {
    scheduleAfter(STORE_MILLIS, () -> handleResponse(node, response));
  }

  private void handleResponse(Node node, StoreResponse response) {
    StorePosition before = node.state.watcher().position();
    boolean changed = node.state.watcher().onResponse(now, response);
    if (changed || !node.state.watcher().position().equals(before)) {
      node.state.refresh("store");
      announce(node);
    }
    callStore(node);
  }

  private void announce(Node node) {
    if (node.isAnnouncing) {
      return;
    }
    node.isAnnouncing = true;
    scheduleAfter(
        MeshNode.ANNOUNCE_DELAY_MILLIS,
        () -> {
          node.isAnnouncing = false;
          zonePeers(node).forEach(peer -> sendReport(node, peer));
          for (int zone = 0; zone < zones; zone++) {
            sendDigest(node, zone);
          }
        });
  }

  private List<Node> zonePeers(Node node) {
    return nodes.stream().filter(each -> each.zone == node.zone && each != node).toList();
  }

  private void sendReport(Node from, Node to) {
    MeshView view = from.state.view();
    deliverReport(from, to, view.version(), view.position(), DATAGRAM_MILLIS);
  }

  /** Sends a digest to one node of another zone, which relays it to its zone. */
  private void sendDigest(Node from, int zone) {
    List<Node> candidates = nodes.stream().filter(each -> each.zone == zone).toList();
    Node relay = candidates.get(random.nextInt(candidates.size()));
    if (zone == from.zone || !canReach(from, relay)) {
      return;
    }
    MeshView view = from.state.view();
    deliverReport(from, relay, view.version(), view.position(), FAR_DATAGRAM_MILLIS);
    zonePeers(relay)
        .forEach(
            peer ->
                deliverReport(
                    from,
                    peer,
                    view.version(),
                    view.position(),
                    FAR_DATAGRAM_MILLIS + DATAGRAM_MILLIS));
  }

  private void deliverReport(
      Node from, Node to, long version, StorePosition position, long millis) {
    scheduleAfter(
        millis,
        () -> {
          MeshView view = to.state.view();
          if (version > view.version() || position.isAfter(view.position())) {
            to.schedule.recordNewerState(now, from.host, from.zone == to.zone, version, position);
            startPulling(to);
          }
        });
  }

  private void runRound(Node node) {
    node.state.applyIfDue();
    List<Node> near = zonePeers(node);
    for (int target = 0; target < Math.min(GOSSIP_TARGETS, near.size()); target++) {
      sendReport(node, near.get(random.nextInt(near.size())));
    }
    boolean isDelegate = node.index / zones < 2;
    if (isDelegate && now % DIGEST_MILLIS < ROUND_MILLIS) {
      for (int zone = 0; zone < zones; zone++) {
        sendDigest(node, zone);
      }
    }
    scheduleAfter(ROUND_MILLIS, () -> runRound(node));
  }

  /**
   * Starts the transfer schedule of a node, which runs every few milliseconds while it is active.
   */
  private void startPulling(Node node) {
    if (node.isPulling) {
      return;
    }
    node.isPulling = true;
    pullStep(node);
  }

  private void pullStep(Node node) {
    if (!node.schedule.isActive()) {
      node.isPulling = false;
      return;
    }
    node.schedule
        .nextSource(now, node.state.view(), isReader(node), host -> false)
        .ifPresent(source -> transfer(node, source));
    scheduleAfter(StatePuller.CHECK_INTERVAL_MILLIS, () -> pullStep(node));
  }

  private void transfer(Node node, PeerAddress source) {
    Node sourceNode =
        nodes.stream().filter(each -> each.host.equals(source.host())).findFirst().orElseThrow();
    if (!canReach(node, sourceNode)) {
      scheduleAfter(TRANSFER_TIMEOUT_MILLIS, () -> endTransfer(node, source, false));
      return;
    }
    StateRequest held = node.state.stateRequest();
    TransferRequest request =
        new TransferRequest(held, node.state.view().version(), node.schedule.wantsFacts());
    scheduleAfter(
        HALF_TRANSFER_MILLIS,
        () -> {
          StateTransfer transfer = sourceNode.state.transferFor(request);
          transferBytes += StateChangesCodec.encode(transfer).length;
          scheduleAfter(HALF_TRANSFER_MILLIS, () -> adopt(node, source, transfer));
        });
  }

  private void adopt(Node node, PeerAddress source, StateTransfer transfer) {
    node.schedule.recordResponse(transfer.changes().position());
    boolean isAdopted = node.state.adopt(transfer, source.host()) == MeshState.Adoption.ADOPTED;
    if (isAdopted && isReader(node)) {
      announce(node);
    }
    endTransfer(node, source, isAdopted);
  }

  private void endTransfer(Node node, PeerAddress source, boolean isAdopted) {
    node.schedule.recordEnd(now, node.state.view(), source, isAdopted);
  }

  /** Writes the initial items to a store: a configuration and the entries of backends. */
  static void populate(StoreModel store, int backends) {
    store.put("configuration", "booking@1");
    for (int index = 0; index < backends; index++) {
      store.put("b-" + index, Integer.toString(1_000 + index));
    }
  }
}
