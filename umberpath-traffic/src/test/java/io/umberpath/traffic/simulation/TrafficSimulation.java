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

/** Runs a {@link Scenario} in virtual time with the real decision code. */
final class TrafficSimulation {
  private static final long SAME_ZONE_MICROS = 100;
  private static final long CROSS_ZONE_MICROS = 500;
  private static final long WARM_UP_MICROS = 1_000_000;
  private static final String[] ZONES = {"a", "b", "c", "d"};

  private static final class Edge {
    private final String zone;
    private final LoadBalancer balancer;
    private final Map<Tier, RetryPolicy> retries =
        RetryPolicies.createPerTier(RetrySettings.DEFAULT);
    private int nextIndex;

    Edge(int index) {
      zone = ZONES[index % ZONES.length];
      balancer = LoadBalancers.create(BalancerSettings.of("edge-" + index, zone));
      nextIndex = index;
    }
  }

  private static final class Request {
    private final Tier tier;
    private final long startMicros;
    private final boolean isMeasured;
    private final Set<String> triedIds = new HashSet<>();
    private int attempts;
    private boolean isCompleted;

    Request(Tier tier, long startMicros) {
      this.tier = tier;
      this.startMicros = startMicros;
      this.isMeasured = startMicros >= WARM_UP_MICROS;
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
      double factor = i < scenario.slowBackends() ? Scenario.SLOW_FACTOR : 1;
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
    simulation.scheduleArrival();
    simulation.broadcastReports();
    long end = WARM_UP_MICROS + scenario.seconds() * 1_000_000L;
    simulation.loop.runUntil(end);
    return simulation.outcome;
  }

  private void scheduleArrival() {
    double perMicro = scenario.load() * scenario.capacity() / 1e6;
    loop.schedule(
        Math.round(-Math.log(1 - random.nextDouble()) / perMicro),
        () -> {
          double draw = random.nextDouble();
          Tier tier = draw < 0.2 ? Tier.PREMIUM : draw < 0.5 ? Tier.STANDARD : Tier.BASIC;
          Request request = new Request(tier, loop.nowMicros());
          if (request.isMeasured) {
            outcome.recordRequest(tier);
          }
          Edge edge = edges.get(random.nextInt(edges.size()));
          edge.retries.get(tier).requestStarted(loop.nowMillis());
          attempt(edge, request);
          scheduleArrival();
        });
  }

  private void broadcastReports() {
    List<ObservedBackend> reports = new ArrayList<>();
    for (int i = 0; i < backends.size(); i++) {
      reports.add(createReport(i));
    }
    loop.schedule(
        scenario.reportLagMillis() * 1_000,
        () -> edges.forEach(edge -> edge.balancer.updateReports(loop.nowMillis(), reports)));
    loop.schedule(Scenario.REPORT_INTERVAL_MILLIS * 1_000, this::broadcastReports);
  }

  private ObservedBackend createReport(int index) {
    int load = index < scenario.misreportingBackends() ? 0 : backends.get(index).load();
    return new ObservedBackend("b" + index, 1, ++counter, ObservedBackend.Phase.READY, load);
  }

  private void attempt(Edge edge, Request request) {
    if (scenario.policy() == Scenario.Policy.UMBERPATH) {
      Either<Verdict.Reason, BackendView> choice =
          edge.balancer.pick(
              loop.nowMillis(), pool, request.tier, random.nextLong(), request.triedIds);
      if (choice.isRight()) {
        send(edge, request, pool.backends().indexOf(choice.get()));
      }
      return;
    }
    send(edge, request, edge.nextIndex++ % backends.size());
    if (scenario.policy() == Scenario.Policy.ROUND_ROBIN_RETRY_THREE) {
      loop.schedule(
          Scenario.DEADLINE_MILLIS * 1_000 / 3,
          () -> {
            if (!request.isCompleted && request.attempts < 3) {
              attempt(edge, request);
            }
          });
    }
  }

  private void send(Edge edge, Request request, int index) {
    request.attempts++;
    outcome.attempts += request.isMeasured ? 1 : 0;
    BackendView view = pool.backends().get(index);
    String id = view.address().id();
    long hopMicros = edge.zone.equals(view.address().zone()) ? SAME_ZONE_MICROS : CROSS_ZONE_MICROS;
    long sentMicros = loop.nowMicros();
    edge.balancer.started(loop.nowMillis(), id);
    request.triedIds.add(id);
    AdmissionRequest admissionRequest =
        new AdmissionRequest(nextId++, "t", request.tier, request.deadlineMillis());
    loop.schedule(
        hopMicros,
        () ->
            backends
                .get(index)
                .handle(
                    admissionRequest,
                    refused -> respond(edge, request, index, hopMicros, refused, sentMicros)));
  }

  private void respond(
      Edge edge, Request request, int index, long hopMicros, Refused refused, long sentMicros) {
    Optional<ObservedBackend> load =
        scenario.loadInResponses() ? Optional.of(createReport(index)) : Optional.empty();
    loop.schedule(
        hopMicros,
        () -> {
          completeAttempt(edge, request, "b" + index, refused, sentMicros);
          load.ifPresent(known -> edge.balancer.updateReports(loop.nowMillis(), List.of(known)));
        });
  }

  private void completeAttempt(
      Edge edge, Request request, String id, Refused refused, long sentMicros) {
    long now = loop.nowMillis();
    Verdict verdict = SimulatedBackend.verdict(refused);
    edge.balancer.finished(now, id, verdict, loop.nowMicros() - sentMicros);
    if (refused == null) {
      if (request.isMeasured && !request.isCompleted) {
        outcome.recordResponse(request.tier, loop.nowMicros() - request.startMicros);
      }
      request.isCompleted = true;
      return;
    }
    if (refused.retryAfterMillis() > 0) {
      edge.balancer.backOff(now, id, request.tier, refused.retryAfterMillis());
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
