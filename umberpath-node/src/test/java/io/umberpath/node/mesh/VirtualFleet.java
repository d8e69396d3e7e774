package io.umberpath.node.mesh;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreAnswer;
import io.umberpath.control.store.StoreCall;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.control.store.StoreWatcher.Step;
import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Nodes in virtual time with the decisions of the process about what they hold, when they call the
 * store and from whom they take changes; a network and a store with delays. Each zone has one
 * reader that the store answers, two of all call it promptly. Reports go out when a reader has news
 * and every round to three nodes of the zone; digests once a second.
 */
final class VirtualFleet {
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

  private record Timed(long atMillis, long order, Runnable task) {}

  /** A watch that waits at the store. */
  private record Standing(Node node, long after, long untilMillis) {}

  /** One node. */
  final class Node {
    final int index;
    final int zone;
    final String host;
    final MeshState state;
    private final TransferSchedule schedule;
    private boolean announces;
    private boolean pulls;

    /** Whether the back end that has left gets new work from here. */
    boolean sendsToLeaver() {
      return state.view().backends().ready("booking").stream()
          .anyMatch(entry -> entry.id().equals("b-0"));
    }

    private Node(int index, int zone) {
      this.index = index;
      this.zone = zone;
      this.host = "10." + zone + "." + index / 250 + "." + (1 + index % 250);
      this.state =
          new MeshState(
              new PortDocuments(),
              new StoreWatcher("", WatchTimes.PROMPT, random::nextDouble),
              EVENTS,
              () -> now);
      this.schedule = new TransferSchedule(List.of(), EXCHANGE_PORT, true, () -> random);
    }
  }

  private final Random random;
  private final StoreModel store;
  private final int zones;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Standing> standing = new ArrayList<>();
  private final PriorityQueue<Timed> queue =
      new PriorityQueue<>(
          (one, other) ->
              one.atMillis() != other.atMillis()
                  ? Long.compare(one.atMillis(), other.atMillis())
                  : Long.compare(one.order(), other.order()));
  private long order;
  private long now;
  private boolean away;
  private int cutZone = -1;
  private Predicate<Node> refused = node -> false;
  private int calls;
  private int wholeReads;
  private long transferBytes;

  VirtualFleet(int size, int zones, long seed, StoreModel store) {
    this.random = new Random(seed);
    this.zones = zones;
    this.store = store;
    for (int index = 0; index < size; index++) {
      nodes.add(new Node(index, index % zones));
    }
    // The store refuses a third of the nodes, of each zone alike.
    this.refused = node -> node.index / zones % 3 == 0;
    for (Node node : nodes) {
      node.schedule.begin(0);
      at(random.nextInt((int) ROUND_MILLIS), () -> round(node));
      if (isReader(node)) {
        at(random.nextInt(500), () -> follow(node));
      }
    }
  }

  List<Node> nodes() {
    return nodes;
  }

  long now() {
    return now;
  }

  int calls() {
    return calls;
  }

  int wholeReads() {
    return wholeReads;
  }

  long transferBytes() {
    return transferBytes;
  }

  int readers() {
    return (int) nodes.stream().filter(this::isReader).count();
  }

  /** Runs a task at a time. */
  void at(long millis, Runnable task) {
    queue.add(new Timed(millis, order++, task));
  }

  private void in(long millis, Runnable task) {
    at(now + millis, task);
  }

  void runUntil(long millis) {
    while (!queue.isEmpty() && queue.peek().atMillis() <= millis) {
      Timed next = queue.remove();
      now = next.atMillis();
      next.task().run();
    }
    now = millis;
  }

  /** The store is away, or back. */
  void away(boolean isAway) {
    away = isAway;
    List<Standing> cut = List.copyOf(standing);
    standing.clear();
    cut.forEach(each -> reply(each.node(), new StoreAnswer.Unavailable("cut")));
  }

  /** Cuts a zone off from the store and the others; -1 for none. */
  void cutOff(int zone) {
    cutZone = zone;
  }

  /** The store has changed: watches that wait are answered. */
  void changed() {
    List<Standing> heard = new ArrayList<>(standing);
    standing.clear();
    for (Standing each : heard) {
      if (isCutFromStore(each.node())) {
        standing.add(each);
      } else {
        reply(each.node(), store.answer(new StoreCall.Watch("", each.after(), 0)));
      }
    }
  }

  private boolean isCutFromStore(Node node) {
    return node.zone == cutZone;
  }

  private boolean reach(Node one, Node other) {
    return one.zone == other.zone || (one.zone != cutZone && other.zone != cutZone);
  }

  /** The first node of each zone that the store answers. */
  private boolean isReader(Node node) {
    return !refused.test(node)
        && nodes.stream()
            .filter(each -> each.zone == node.zone && !refused.test(each))
            .findFirst()
            .filter(first -> first == node)
            .isPresent();
  }

  private boolean isPrompt(Node node) {
    return node.zone < PROMPT_READERS;
  }

  private void follow(Node node) {
    node.state.watcher().pace(isPrompt(node) ? WatchTimes.PROMPT : WatchTimes.STANDBY);
    Step step = node.state.watcher().next(now);
    if (step instanceof Step.Wait wait) {
      at(Math.max(now + 1, wait.untilMillis()), () -> follow(node));
      return;
    }
    calls++;
    StoreCall call = ((Step.Call) step).call();
    if (away || isCutFromStore(node)) {
      reply(node, new StoreAnswer.Unavailable("away"));
    } else if (call instanceof StoreCall.Watch watch) {
      watch(node, watch);
    } else {
      wholeReads += ((StoreCall.Read) call).after().isEmpty() ? 1 : 0;
      reply(node, store.answer(call));
    }
  }

  private void watch(Node node, StoreCall.Watch watch) {
    StoreAnswer atOnce = store.answer(watch);
    boolean waits = atOnce instanceof StoreAnswer.Events events && events.events().isEmpty();
    if (!waits) {
      reply(node, atOnce);
      return;
    }
    Standing waiting = new Standing(node, watch.afterRevision(), now + watch.waitMillis());
    standing.add(waiting);
    at(
        waiting.untilMillis(),
        () -> {
          if (standing.remove(waiting)) {
            reply(node, atOnce);
          }
        });
  }

  private void reply(Node node, StoreAnswer answer) {
    in(STORE_MILLIS, () -> answered(node, answer));
  }

  private void answered(Node node, StoreAnswer answer) {
    StorePosition before = node.state.watcher().at();
    boolean changed = node.state.watcher().answered(now, answer);
    if (changed || !node.state.watcher().at().equals(before)) {
      node.state.refresh("store");
      announce(node);
    }
    follow(node);
  }

  private void announce(Node node) {
    if (node.announces) {
      return;
    }
    node.announces = true;
    in(
        MeshNode.ANNOUNCE_MILLIS,
        () -> {
          node.announces = false;
          near(node).forEach(peer -> report(node, peer));
          for (int zone = 0; zone < zones; zone++) {
            digest(node, zone);
          }
        });
  }

  private List<Node> near(Node node) {
    return nodes.stream().filter(each -> each.zone == node.zone && each != node).toList();
  }

  private void report(Node from, Node to) {
    MeshView view = from.state.view();
    heard(from, to, view.version(), view.position(), DATAGRAM_MILLIS);
  }

  /** One node of another zone hears, and passes it on to its zone. */
  private void digest(Node from, int zone) {
    List<Node> there = nodes.stream().filter(each -> each.zone == zone).toList();
    Node relay = there.get(random.nextInt(there.size()));
    if (zone == from.zone || !reach(from, relay)) {
      return;
    }
    MeshView view = from.state.view();
    heard(from, relay, view.version(), view.position(), FAR_DATAGRAM_MILLIS);
    near(relay)
        .forEach(
            peer ->
                heard(
                    from,
                    peer,
                    view.version(),
                    view.position(),
                    FAR_DATAGRAM_MILLIS + DATAGRAM_MILLIS));
  }

  private void heard(Node from, Node to, long version, StorePosition position, long millis) {
    in(
        millis,
        () -> {
          MeshView view = to.state.view();
          if (version > view.version() || position.isAfter(view.position())) {
            to.schedule.ahead(now, from.host, from.zone == to.zone, version, position);
            pull(to);
          }
        });
  }

  private void round(Node node) {
    node.state.settle();
    List<Node> near = near(node);
    for (int target = 0; target < Math.min(GOSSIP_TARGETS, near.size()); target++) {
      report(node, near.get(random.nextInt(near.size())));
    }
    boolean isDelegate = node.index / zones < 2;
    if (isDelegate && now % DIGEST_MILLIS < ROUND_MILLIS) {
      for (int zone = 0; zone < zones; zone++) {
        digest(node, zone);
      }
    }
    in(ROUND_MILLIS, () -> round(node));
  }

  /** Runs the schedule of a node now and every few milliseconds while it has something to do. */
  private void pull(Node node) {
    if (node.pulls) {
      return;
    }
    node.pulls = true;
    step(node);
  }

  private void step(Node node) {
    if (!node.schedule.isActive()) {
      node.pulls = false;
      return;
    }
    node.schedule
        .next(now, node.state.view(), isReader(node), host -> false)
        .ifPresent(source -> transfer(node, source));
    in(StatePuller.CHECK_MILLIS, () -> step(node));
  }

  private void transfer(Node node, PeerAddress source) {
    Node giver =
        nodes.stream().filter(each -> each.host.equals(source.host())).findFirst().orElseThrow();
    if (!reach(node, giver)) {
      in(TRANSFER_TIMEOUT_MILLIS, () -> ended(node, source, false));
      return;
    }
    StateRequest held = node.state.request();
    TransferRequest request =
        new TransferRequest(held, node.state.view().version(), node.schedule.wantsFacts());
    in(
        HALF_TRANSFER_MILLIS,
        () -> {
          StateTransfer given = giver.state.transferFor(request);
          transferBytes += StateChangesCodec.encode(given).length;
          in(HALF_TRANSFER_MILLIS, () -> taken(node, source, given));
        });
  }

  private void taken(Node node, PeerAddress source, StateTransfer given) {
    node.schedule.answered(given.changes().at());
    boolean taken = node.state.adopt(given, source.host()) == MeshState.Adoption.TAKEN;
    if (taken && isReader(node)) {
      announce(node);
    }
    ended(node, source, taken);
  }

  private void ended(Node node, PeerAddress source, boolean taken) {
    node.schedule.ended(now, node.state.view(), source, taken);
  }

  /** Items that a store of back ends has at the start: a configuration and their entries. */
  static void fill(StoreModel store, int backends) {
    store.put("configuration", "booking@1");
    for (int index = 0; index < backends; index++) {
      store.put("b-" + index, Integer.toString(1_000 + index));
    }
  }
}
