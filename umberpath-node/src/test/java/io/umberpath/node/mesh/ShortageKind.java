package io.umberpath.node.mesh;

import io.umberpath.model.routing.RequestKind;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.model.routing.WeightedService;
import java.util.List;
import java.util.Random;

/** Kinds of requests of {@link ShortageModel}, with their times, values and rules. */
enum ShortageKind {
  BROWSE(
      "desk",
      RequestKind.SAFE,
      5.7,
      new Work(220, 0.3, 3, 1_300),
      new Times(600, 1_500, 1_500),
      0.3,
      2),
  ORDER(
      "desk",
      RequestKind.NON_IDEMPOTENT,
      1.9,
      new Work(290, 0.8, 3, 1_700),
      new Times(800, 2_000, 1_200),
      0.6,
      1),
  UPLOAD(
      "hub",
      RequestKind.UPLOAD,
      0.63,
      new Work(260, 0.5, 5, 2_000),
      new Times(800, 2_000, 2_000),
      0.6,
      1),
  QUOTE(
      "hub",
      RequestKind.SAFE,
      1.2,
      new Work(880, 0.5, 5, 6_600),
      new Times(2_500, 6_000, 4_000),
      0.3,
      2),
  /** Nested call of a browse, which holds its slot meanwhile. */
  CALL("hub", RequestKind.SAFE, 0, new Work(55, 0.5, 1, 330), new Times(200, 600, 600), 0, 2);

  /** Kinds that clients send. */
  static final List<ShortageKind> OF_CLIENTS = List.of(BROWSE, ORDER, UPLOAD, QUOTE);

  /** Share of the browses that make a call. */
  static final double CALL_SHARE = 0.7;

  private static final double TAIL_SHARE = 0.01;
  private static final int MAX_ATTEMPTS = 2;

  /**
   * Distribution of the work of a request, log-normal with a tail.
   *
   * @param tailFactor factor on the work of the tail
   */
  record Work(double meanMillis, double spread, double tailFactor, double maxMillis) {
    double draw(Random random) {
      double factor = random.nextDouble() < TAIL_SHARE ? tailFactor : 1;
      double deviation = spread * random.nextGaussian() - spread * spread / 2;
      return Math.min(maxMillis, meanMillis * factor * Math.exp(deviation));
    }
  }

  /** Target latency, timeout of the client and timeout of the route. */
  private record Times(long targetMillis, long clientMillis, long routeMillis) {}

  final String service;
  final double weight;
  final Work work;
  final long targetMillis;
  final long timeoutMillis;

  /** Value of a response that comes after the target. */
  final double lateValue;

  final RoutingRule rule;

  ShortageKind(
      String service,
      RequestKind requestKind,
      double weight,
      Work work,
      Times times,
      double lateValue,
      int priority) {
    this.service = service;
    this.weight = weight;
    this.work = work;
    this.targetMillis = times.targetMillis();
    this.timeoutMillis = times.clientMillis();
    this.lateValue = lateValue;
    this.rule =
        new RoutingRule(
            name(),
            "host",
            "/",
            requestKind,
            List.of(new WeightedService(service, 1)),
            times.routeMillis(),
            MAX_ATTEMPTS,
            times.targetMillis(),
            priority);
  }

  boolean isUpload() {
    return this == UPLOAD;
  }
}
