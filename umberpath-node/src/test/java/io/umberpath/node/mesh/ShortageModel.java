package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.BackendLoad;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Two services whose backends have few slots, in four zones, and their clients, in virtual time.
 * Requests of one service make nested calls to the other while they hold their slot. Choice,
 * admission, time limits and retries are those of the nodes.
 */
final class ShortageModel {
  static final List<String> ZONES = List.of("a", "b", "c", "d");
  private static final double[] ZONE_WEIGHTS = {21.8, 27.4, 30.3, 25.0};
  private static final int[] DESKS = {2, 2, 2, 1};
  private static final int[] HUBS = {2, 1, 1, 1};
  private static final double[] SPEEDS = {0.7, 0.7, 1.6};
  private static final double CLIENT_MILLIS = 4;
  private static final long DEFAULT_RETRY_MILLIS = 50;
  private static final int CLIENT_RETRIES = 1;
  private static final long TICK_MILLIS = 50;
  private static final long OBSERVE_MILLIS = 100;
  private static final long ZONE_REPORT_MILLIS = 150;
  private static final long OTHER_ZONES_REPORT_MILLIS = 1_500;
  private static final long UNLISTED_AFTER_MILLIS = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ShortageScenario scenario;
  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final ShortageTally tally = new ShortageTally();
  private final Map<String, ShortageGate> gates = new LinkedHashMap<>();
  private final List<ShortageEdge> edges = new ArrayList<>();
  private final Map<String, List<BackendEntry>> ready = new LinkedHashMap<>();
  private final double requestsPerMilli;
  private long lastRequestId;

  ShortageModel(ShortageScenario scenario) {
    this.scenario = scenario;
    this.random = new Random(scenario.seed());
    addNodes("desk", DESKS);
    addNodes("hub", HUBS);
    ready.put("desk", List.of());
    ready.put("hub", List.of());
    gates.values().forEach(gate -> list(gate, true));
    this.requestsPerMilli = requestsPerMilliOfRoom();
  }

  private void addNodes(String service, int[] countByZone) {
    int index = 0;
    for (int zone = 0; zone < ZONES.size(); zone++) {
      for (int count = 0; count < countByZone[zone]; count++) {
        String id = service + index;
        ShortageGate gate =
            new ShortageGate(this, id, service, ZONES.get(zone), SPEEDS[index % SPEEDS.length]);
        ShortageEdge edge = new ShortageEdge(this, ZONES.get(zone), service, gate);
        gate.setLocalEdge(edge);
        gates.put(id, gate);
        edges.add(edge);
        index++;
      }
    }
  }

  /** Requests of clients that fill the slots of the service with the least room. */
  private double requestsPerMilliOfRoom() {
    double weights = ShortageKind.OF_CLIENTS.stream().mapToDouble(kind -> kind.weight).sum();
    double room = Double.MAX_VALUE;
    for (String service : ready.keySet()) {
      double slots = ShortageGate.SLOTS * speedOf(service);
      double work = 0;
      for (ShortageKind kind : ShortageKind.OF_CLIENTS) {
        double share = kind.weight / weights;
        work += kind.service.equals(service) ? share * kind.work.meanMillis() : 0;
        if (kind == ShortageKind.BROWSE) {
          work += share * ShortageKind.CALL_SHARE * ShortageKind.CALL.work.meanMillis();
        }
      }
      room = Math.min(room, slots / work);
    }
    return room;
  }

  private double speedOf(String service) {
    return gates.values().stream()
        .filter(gate -> gate.entry().service().equals(service))
        .mapToDouble(ShortageGate::usualRate)
        .sum();
  }

  VirtualTime time() {
    return time;
  }

  Random random() {
    return random;
  }

  ShortageTally tally() {
    return tally;
  }

  int nodeCount() {
    return edges.size();
  }

  String nextRequestId() {
    return Long.toString(++lastRequestId);
  }

  ShortageGate gateOf(String id) {
    return gates.get(id);
  }

  List<BackendEntry> readyBackends(String service) {
    return ready.get(service);
  }

  private void list(ShortageGate gate, boolean isListed) {
    String service = gate.entry().service();
    List<BackendEntry> entries = new ArrayList<>(ready.get(service));
    entries.removeIf(entry -> entry.id().equals(gate.entry().id()));
    if (isListed) {
      entries.add(gate.entry());
    }
    ready.put(service, List.copyOf(entries));
  }

  void run() {
    scheduleArrival();
    time.scheduleEvery(TICK_MILLIS, () -> gates.values().forEach(ShortageGate::tick));
    time.scheduleEvery(OBSERVE_MILLIS, () -> gates.values().forEach(ShortageGate::observe));
    for (ShortageGate gate : gates.values()) {
      scheduleReports(gate, ZONE_REPORT_MILLIS, true);
      scheduleReports(gate, OTHER_ZONES_REPORT_MILLIS, false);
    }
    if (scenario.isPrinted()) {
      time.scheduleEvery(
          MILLIS_PER_SECOND,
          () -> tally.note(time.millis(), gates.values().stream().map(ShortageGate::describe)));
    }
    time.schedule(scenario.troubleStartMillis(), this::beginTrouble);
    time.runUntil(scenario.endMillis() + 2 * ShortageKind.QUOTE.timeoutMillis);
  }

  private void beginTrouble() {
    double lastsMillis = scenario.troubleEndMillis() - scenario.troubleStartMillis();
    for (String id : scenario.backends()) {
      ShortageGate gate = gates.get(id);
      if (scenario.slowFactor() > 1) {
        gate.setSlowFactor(scenario.slowFactor());
        time.schedule(lastsMillis, () -> gate.setSlowFactor(1));
      } else {
        gate.lose();
        time.schedule(UNLISTED_AFTER_MILLIS, () -> list(gate, false));
        time.schedule(
            lastsMillis,
            () -> {
              gate.restart();
              list(gate, true);
            });
      }
    }
  }

  private void scheduleReports(ShortageGate gate, long periodMillis, boolean toOwnZone) {
    time.schedule(
        periodMillis * (0.5 + random.nextDouble()),
        () -> {
          BackendLoad load = gate.load();
          long madeMillis = time.millis();
          for (ShortageEdge edge : edges) {
            if (edge.zone().equals(gate.zone()) == toOwnZone) {
              time.schedule(
                  edge.latencyTo(gate), () -> edge.updateLoad(madeMillis, gate.entry().id(), load));
            }
          }
          scheduleReports(gate, periodMillis, toOwnZone);
        });
  }

  private void scheduleArrival() {
    double load = scenario.loadAt(time.exactMillis());
    time.schedule(
        -Math.log(1 - random.nextDouble()) / (load * requestsPerMilli),
        () -> {
          if (time.exactMillis() < scenario.endMillis()) {
            scheduleArrival();
            arrive();
          }
        });
  }

  private void arrive() {
    ShortageKind kind = drawKind();
    String zone = ZONES.get(draw(ZONE_WEIGHTS));
    List<ShortageEdge> local = edges.stream().filter(edge -> edge.zone().equals(zone)).toList();
    new ClientRequest(kind, local).send();
  }

  private ShortageKind drawKind() {
    double[] weights = ShortageKind.OF_CLIENTS.stream().mapToDouble(kind -> kind.weight).toArray();
    return ShortageKind.OF_CLIENTS.get(draw(weights));
  }

  private int draw(double[] weights) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double left = random.nextDouble() * sum;
    int index = 0;
    while (index < weights.length - 1 && left >= weights[index]) {
      left -= weights[index++];
    }
    return index;
  }

  /** Sends a nested call of a backend through the node beside it. */
  ShortageEdge.Request call(
      ShortageEdge edge, double timeoutMillis, Consumer<ShortageEdge.Result> onEnd) {
    long second = time.millis() / MILLIS_PER_SECOND;
    double sentMillis = time.exactMillis();
    return edge.receive(
        ShortageKind.CALL,
        timeoutMillis,
        ShortageKind.CALL.work.draw(random),
        false,
        result -> {
          tally.callEnded(second, result.outcome(), time.exactMillis() - sentMillis);
          onEnd.accept(result);
        });
  }

  /** A request of a client, through all its tries. */
  private final class ClientRequest {
    private final ShortageKind kind;
    private final List<ShortageEdge> localEdges;
    private final double firstSentMillis = time.exactMillis();
    private final double workMillis;
    private final boolean makesCall;
    private double lastSentMillis;
    private int tries;
    private boolean wasRefusedEarly;

    ClientRequest(ShortageKind kind, List<ShortageEdge> localEdges) {
      this.kind = kind;
      this.localEdges = localEdges;
      this.workMillis = kind.work.draw(random);
      this.makesCall = kind == ShortageKind.BROWSE && random.nextDouble() < ShortageKind.CALL_SHARE;
    }

    private double leftMillis() {
      return firstSentMillis + kind.timeoutMillis - time.exactMillis();
    }

    void send() {
      tries++;
      lastSentMillis = time.exactMillis();
      ShortageEdge edge = localEdges.get(random.nextInt(localEdges.size()));
      double timeoutMillis = leftMillis() - 2 * CLIENT_MILLIS;
      time.schedule(
          CLIENT_MILLIS,
          () ->
              edge.receive(
                  kind,
                  timeoutMillis,
                  workMillis,
                  makesCall,
                  result -> time.schedule(CLIENT_MILLIS, () -> receive(result))));
    }

    private void receive(ShortageEdge.Result result) {
      boolean mayRepeat =
          result.outcome() == ShortageEdge.Outcome.REFUSED
              || result.outcome() == ShortageEdge.Outcome.FAILED && kind.rule.kind().isRepeatable();
      if (mayRepeat && tries <= CLIENT_RETRIES && leftMillis() > 4 * CLIENT_MILLIS) {
        wasRefusedEarly =
            result.outcome() == ShortageEdge.Outcome.REFUSED
                && !result.hasRun()
                && time.exactMillis() - firstSentMillis <= kind.targetMillis / 4.0;
        long waitMillis =
            result.retryAfterMillis() > 0 ? result.retryAfterMillis() : DEFAULT_RETRY_MILLIS;
        time.schedule(Math.min(waitMillis, leftMillis() / 3), this::send);
        return;
      }
      tally.ended(
          new ShortageTally.End(
              kind,
              localEdges.get(0).zone(),
              (long) firstSentMillis,
              result.outcome(),
              value(result.outcome()),
              tries));
    }

    private double value(ShortageEdge.Outcome outcome) {
      if (outcome != ShortageEdge.Outcome.SERVED) {
        return 0;
      }
      if (time.exactMillis() - firstSentMillis <= kind.targetMillis) {
        return 1;
      }
      boolean isRetryInTime =
          wasRefusedEarly && time.exactMillis() - lastSentMillis <= kind.targetMillis;
      return isRetryInTime ? (1 + kind.lateValue) / 2 : kind.lateValue;
    }
  }
}
