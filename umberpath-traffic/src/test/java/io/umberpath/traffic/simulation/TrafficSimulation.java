package io.umberpath.traffic.simulation;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.Pool;
import io.umberpath.model.ProxySnapshot.BackendView;
import io.umberpath.model.ProxySnapshot.PoolView;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionController.Decision.Refused;
import io.umberpath.traffic.BalancerSettings;
import io.umberpath.traffic.LoadBalancer;
import io.umberpath.traffic.LoadBalancers;
import io.umberpath.traffic.RetryPolicies;
import io.umberpath.traffic.RetryPolicy;
import io.umberpath.traffic.RetrySettings;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** Runs a {@link Scenario} in virtual time through the pure decisions. */
final class TrafficSimulation {
  private static final long ZONE_MICROS = 100;
  private static final long BETWEEN_ZONES_MICROS = 500;
  private static final long WARM_UP_MICROS = 1_000_000;
  private static final String[] ZONES = {"a", "b", "c", "d"};

  private static final class Edge {
    private final String zone;
    private final LoadBalancer balancer;
    private final Map<Tier, RetryPolicy> retries =
        RetryPolicies.createPerTier(RetrySettings.DEFAULT);
    private int turn;

    Edge(int index) {
      zone = ZONES[index % ZONES.length];
      balancer = LoadBalancers.create(BalancerSettings.of("edge-" + index, zone));
      turn = index;
    }
  }

  private static final class Request {
    private final Tier tier;
    private final long startMicros;
    private final boolean counted;
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private boolean answered;

    Request(Tier tier, long startMicros) {
      this.tier = tier;
      this.startMicros = startMicros;
      this.counted = startMicros >= WARM_UP_MICROS;
    }

    long deadlineMillis() {
      return startMicros / 1_000 + Scenario.DEADLINE_MILLIS;
    }
  }

  private final EventLoop loop = new EventLoop();
  private final Scenario scenario;
  private final SplittableRandom random;
  private final Outcome outcome;
  private final List<Edge> edges = new ArrayList<>();
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final PoolView pool;
  private long nextId;
  private long counter;

  private TrafficSimulation(Scenario scenario) {
    this.scenario = scenario;
    this.random = new SplittableRandom(scenario.seed());
    this.outcome = new Outcome(scenario);
    boolean admission =
        scenario.policy() == Scenario.Policy.UMBERPATH
            || scenario.policy() == Scenario.Policy.ROUND_ROBIN_ADMISSION;
    List<BackendView> views = new ArrayList<>();
    for (int i = 0; i < Scenario.BACKENDS; i++) {
      double factor = i < scenario.slow() ? Scenario.SLOW_FACTOR : 1;
      double service = Scenario.SERVICE_MICROS * factor;
      backends.add(new SimulatedBackend(loop, random.nextLong(), service, admission));
      String zone = ZONES[i % ZONES.length];
      views.add(new BackendView(new BackendAddress("b" + i, "::1", 1, zone, "::1", 1 + i), false));
    }
    pool = new PoolView(new Pool("p", "t", Tier.STANDARD, "s", Scenario.SLOTS, 130), views);
    for (int i = 0; i < Scenario.EDGES; i++) {
      edges.add(new Edge(i));
    }
  }

  static Outcome run(Scenario scenario) {
    TrafficSimulation simulation = new TrafficSimulation(scenario);
    simulation.arrive();
    simulation.report();
    long end = WARM_UP_MICROS + scenario.seconds() * 1_000_000L;
    simulation.loop.runUntil(end);
    return simulation.outcome;
  }

  private void arrive() {
    double perMicro = scenario.load() * scenario.capacity() / 1e6;
    loop.after(
        Math.round(-Math.log(1 - random.nextDouble()) / perMicro),
        () -> {
          double draw = random.nextDouble();
          Tier tier = draw < 0.2 ? Tier.PREMIUM : draw < 0.5 ? Tier.STANDARD : Tier.BASIC;
          Request request = new Request(tier, loop.nowMicros());
          if (request.counted) {
            outcome.offered(tier);
          }
          Edge edge = edges.get(random.nextInt(edges.size()));
          edge.retries.get(tier).requestStarted(loop.nowMillis());
          attempt(edge, request);
          arrive();
        });
  }

  private void report() {
    List<ObservedBackend> statements = new ArrayList<>();
    for (int i = 0; i < backends.size(); i++) {
      statements.add(statement(i));
    }
    loop.after(
        scenario.reportLagMillis() * 1_000,
        () -> edges.forEach(edge -> edge.balancer.observed(loop.nowMillis(), statements)));
    loop.after(Scenario.REPORT_EVERY_MILLIS * 1_000, this::report);
  }

  private ObservedBackend statement(int index) {
    int load = index < scenario.lying() ? 0 : backends.get(index).load();
    return new ObservedBackend("b" + index, 1, ++counter, ObservedBackend.Phase.READY, load);
  }

  private void attempt(Edge edge, Request request) {
    if (scenario.policy() == Scenario.Policy.UMBERPATH) {
      Either<Verdict.Reason, BackendView> choice =
          edge.balancer.pick(
              loop.nowMillis(), pool, request.tier, random.nextLong(), request.tried);
      if (choice.isRight()) {
        send(edge, request, pool.backends().indexOf(choice.get()));
      }
      return;
    }
    send(edge, request, edge.turn++ % backends.size());
    if (scenario.policy() == Scenario.Policy.ROUND_ROBIN_RETRY_THREE) {
      loop.after(
          Scenario.DEADLINE_MILLIS * 1_000 / 3,
          () -> {
            if (!request.answered && request.attempts < 3) {
              attempt(edge, request);
            }
          });
    }
  }

  private void send(Edge edge, Request request, int index) {
    request.attempts++;
    outcome.attempts += request.counted ? 1 : 0;
    BackendView view = pool.backends().get(index);
    String id = view.address().id();
    long hop = edge.zone.equals(view.address().zone()) ? ZONE_MICROS : BETWEEN_ZONES_MICROS;
    long sentMicros = loop.nowMicros();
    edge.balancer.started(loop.nowMillis(), id);
    request.tried.add(id);
    AdmissionRequest ask =
        new AdmissionRequest(nextId++, "t", request.tier, request.deadlineMillis());
    loop.after(
        hop,
        () ->
            backends
                .get(index)
                .handle(ask, refused -> answer(edge, request, index, hop, refused, sentMicros)));
  }

  private void answer(
      Edge edge, Request request, int index, long hop, Refused refused, long sentMicros) {
    Optional<ObservedBackend> load =
        scenario.loadOnAnswers() ? Optional.of(statement(index)) : Optional.empty();
    loop.after(
        hop,
        () -> {
          ended(edge, request, "b" + index, refused, sentMicros);
          load.ifPresent(known -> edge.balancer.observed(loop.nowMillis(), List.of(known)));
        });
  }

  private void ended(Edge edge, Request request, String id, Refused refused, long sentMicros) {
    long now = loop.nowMillis();
    Verdict verdict = SimulatedBackend.verdict(refused);
    edge.balancer.finished(now, id, verdict, loop.nowMicros() - sentMicros);
    if (refused == null) {
      if (request.counted && !request.answered) {
        outcome.answered(request.tier, loop.nowMicros() - request.startMicros);
      }
      request.answered = true;
      return;
    }
    if (refused.retryAfterMillis() > 0) {
      edge.balancer.shed(now, id, request.tier, refused.retryAfterMillis());
    }
    RetryPolicy.FailedAttempt failed =
        new RetryPolicy.FailedAttempt(
            verdict, false, request.attempts, true, request.deadlineMillis());
    if (scenario.policy() == Scenario.Policy.UMBERPATH
        && edge.retries.get(request.tier).mayRetry(now, failed)) {
      attempt(edge, request);
    }
  }
}
