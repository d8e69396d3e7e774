package io.umberpath.node.proxy.loop;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Nodes in virtual time whose event loops run the real {@link DeferredTasks}. A client's request is
 * read at one node, sent to a second one, answered there after the backend's work, and answered by
 * the first. Each step takes a fixed time of the event loop, so that no result depends on the
 * machine. A client whose request is refused tries again at the time it was asked to.
 */
final class EventLoopModel {
  static final long MILLI = 1_000_000;

  private static final long READ_NANOS = 400_000;
  private static final long SEND_NANOS = 1_000_000;
  private static final long RESPONSE_NANOS = 600_000;
  private static final long REFUSE_NANOS = 300_000;
  private static final long LATE_NANOS = 20 * MILLI;
  private static final long IDLE_STEP_NANOS = MILLI;
  private static final long SHUFFLE_SEED = 25;

  /** Time of the event loops of both nodes for one request. */
  static final long REQUEST_NANOS = 2 * (READ_NANOS + SEND_NANOS + RESPONSE_NANOS);

  /** A kind of request. */
  enum Kind {
    BROWSE(60, 300, 600),
    ORDER(100, 600, 1_500),
    QUOTE(400, 2_000, 6_000);

    private final long workNanos;
    private final long targetNanos;
    private final long deadlineNanos;

    Kind(long workMillis, long targetMillis, long deadlineMillis) {
      workNanos = workMillis * MILLI;
      targetNanos = targetMillis * MILLI;
      deadlineNanos = deadlineMillis * MILLI;
    }
  }

  /** A request of a client, over all its tries. */
  private static final class Call {
    private final Kind kind;
    private final int edge;
    private final int gate;
    private final long sentNanos;
    private int tries = 1;

    Call(Kind kind, int edge, int gate, long sentNanos) {
      this.kind = kind;
      this.edge = edge;
      this.gate = gate;
      this.sentNanos = sentNanos;
    }
  }

  /** Input of a node that is read at once and takes some time. */
  private record Message(long atNanos, Runnable handler) {}

  private final Random random;
  private final int maxTries;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<Kind, List<Call>> offered = new EnumMap<>(Kind.class);
  private final Map<Kind, List<Call>> inTime = new EnumMap<>(Kind.class);

  /**
   * Creates idle nodes.
   *
   * @param maxTries how often a client sends a request that is refused
   */
  EventLoopModel(int nodeCount, int maxTries, long seed) {
    this.maxTries = maxTries;
    random = new Random(seed);
    for (int index = 0; index < nodeCount; index++) {
      nodes.add(new Node());
    }
    for (Kind kind : Kind.values()) {
      offered.put(kind, new ArrayList<>());
      inTime.put(kind, new ArrayList<>());
    }
  }

  /**
   * Adds requests of all kinds from clients of all nodes.
   *
   * @param load time of event loops that they take, as a share of that of all nodes
   * @param gates how many nodes, from the first on, have the backends
   */
  void offer(long fromMillis, long toMillis, double load, int gates) {
    double meanGapNanos = REQUEST_NANOS / load / nodes.size();
    double atNanos = fromMillis * MILLI;
    while (atNanos < toMillis * MILLI) {
      atNanos += -Math.log(1 - random.nextDouble()) * meanGapNanos;
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      int edge = random.nextInt(nodes.size());
      Call call = new Call(kind, edge, random.nextInt(gates), (long) atNanos);
      offered.get(kind).add(call);
      sendFromClient(call, call.sentNanos);
    }
  }

  /** Lets time pass, the node that is behind the others first. */
  void run(long untilMillis) {
    long endNanos = untilMillis * MILLI;
    Node next = nodes.get(0);
    while (next.nowNanos < endNanos) {
      next.iterate();
      next = nodes.stream().min(Comparator.comparingLong(node -> node.nowNanos)).get();
    }
  }

  /** Share of the requests of a kind, sent within that time, whose response came in time. */
  double shareInTime(Kind kind, long fromMillis, long toMillis) {
    return count(inTime.get(kind), fromMillis, toMillis)
        / (double) count(offered.get(kind), fromMillis, toMillis);
  }

  private static long count(List<Call> calls, long fromMillis, long toMillis) {
    return calls.stream()
        .filter(call -> call.sentNanos >= fromMillis * MILLI && call.sentNanos < toMillis * MILLI)
        .count();
  }

  private void sendFromClient(Call call, long atNanos) {
    Node edge = nodes.get(call.edge);
    edge.send(
        atNanos, () -> edge.receive(call, RequestOrigin.CLIENT, () -> sendToGate(edge, call)));
  }

  private void sendToGate(Node edge, Call call) {
    Node gate = nodes.get(call.gate);
    gate.send(edge.nowNanos, () -> gate.receive(call, RequestOrigin.PEER, () -> work(gate, call)));
  }

  private void work(Node gate, Call call) {
    gate.send(gate.nowNanos + call.kind.workNanos, () -> respond(gate, call));
  }

  private void respond(Node gate, Call call) {
    gate.spend(RESPONSE_NANOS);
    Node edge = nodes.get(call.edge);
    edge.send(gate.nowNanos, () -> deliver(edge, call));
  }

  private void deliver(Node edge, Call call) {
    edge.spend(RESPONSE_NANOS);
    if (edge.nowNanos - call.sentNanos <= call.kind.targetNanos) {
      inTime.get(call.kind).add(call);
    }
  }

  private void refuse(Node node, RequestOrigin origin, Call call, long retryAfterNanos) {
    node.spend(REFUSE_NANOS);
    Node edge = nodes.get(call.edge);
    if (origin == RequestOrigin.PEER) {
      edge.send(node.nowNanos, () -> refuse(edge, RequestOrigin.CLIENT, call, retryAfterNanos));
    } else if (call.tries < maxTries) {
      call.tries++;
      sendFromClient(call, edge.nowNanos + retryAfterNanos);
    }
  }

  /** A node with one event loop. */
  private final class Node {
    private final PriorityQueue<Message> input =
        new PriorityQueue<>(Comparator.comparingLong(Message::atNanos));
    private final DeferredTasks deferred =
        new DeferredTasks(() -> this.nowNanos, new Random(SHUFFLE_SEED), IterationListener.NONE);
    private long nowNanos;
    private long selectedNanos;
    private long lastSelectedNanos;

    void send(long atNanos, Runnable handler) {
      input.add(new Message(atNanos, handler));
    }

    void spend(long nanos) {
      nowNanos += nanos;
    }

    /** Reads what has arrived, then works off what was deferred. */
    void iterate() {
      lastSelectedNanos = selectedNanos;
      selectedNanos = nowNanos;
      deferred.onIterationStart();
      while (!input.isEmpty() && input.peek().atNanos() <= selectedNanos) {
        input.remove().handler().run();
      }
      deferred.run(nowNanos - selectedNanos);
      if (nowNanos == selectedNanos) {
        nowNanos += IDLE_STEP_NANOS;
      }
    }

    void receive(Call call, RequestOrigin origin, Runnable forward) {
      spend(READ_NANOS);
      NewRequest request = new ModelRequest(this, call, origin, forward);
      boolean isLate = deferred.hasTasks() || nowNanos - lastSelectedNanos >= LATE_NANOS;
      if (isLate) {
        deferred.add(request, origin);
      } else {
        request.begin();
      }
    }
  }

  private final class ModelRequest implements NewRequest {
    private final Node node;
    private final Call call;
    private final RequestOrigin origin;
    private final Runnable forward;

    ModelRequest(Node node, Call call, RequestOrigin origin, Runnable forward) {
      this.node = node;
      this.call = call;
      this.origin = origin;
      this.forward = forward;
    }

    @Override
    public void begin() {
      if (node.nowNanos - call.sentNanos >= call.kind.deadlineNanos) {
        EventLoopModel.this.refuse(node, origin, call, 0);
        return;
      }
      node.spend(SEND_NANOS);
      forward.run();
    }

    @Override
    public void refuse(long waitedMillis) {
      EventLoopModel.this.refuse(node, origin, call, waitedMillis * MILLI);
    }
  }
}
