package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.traffic.routing.RetryWindow;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/**
 * Whether a request is sent again, within its route's bounds and the budget that all nodes share.
 * Thread-safe.
 */
final class OutboundRetryPolicy {
  /** Offers that a full node may refuse instead of queueing the request. */
  static final int MAX_OVERLOAD_REFUSALS = 2;

  /** Most nodes that one request is offered to. */
  private static final int MAX_ATTEMPTS = 5;

  /** Time a further attempt needs at least, milliseconds. */
  private static final long MIN_REMAINING_MILLIS = 15;

  /** Routes whose requests the back end beside this node sends, as gates have said of them. */
  private final Set<String> nestedRoutes = ConcurrentHashMap.newKeySet();

  private final RetryWindow window;
  private final IntSupplier nodeCount;
  private final DoubleSupplier retriedWorkShare;

  /**
   * Creates one that has counted nothing.
   *
   * @param nodes nodes that share the budget
   * @param repeatShare share of what the back end beside this node works on that may have run
   *     elsewhere before: what it calls meanwhile counts as repeated by that share
   */
  OutboundRetryPolicy(
      MeshSettings.Retry bounds, IntSupplier nodeCount, DoubleSupplier retriedWorkShare) {
    this.window = new RetryWindow(bounds.windowMillis(), bounds.ratio(), bounds.extra());
    this.nodeCount = nodeCount;
    this.retriedWorkShare = retriedWorkShare;
  }

  /** A request for the service begins here. */
  void recordRequest(long nowMillis, String route, String service) {
    synchronized (window) {
      if (nestedRoutes.contains(route)) {
        window.repeated(nowMillis, service, retriedWorkShare.getAsDouble());
      } else {
        window.requestStarted(nowMillis, service);
      }
    }
  }

  /** A gate said that the route's requests are sent by back ends. */
  void addNestedRoute(String route) {
    nestedRoutes.add(route);
  }

  /** Whether an attempt that ended so may have arrived at a back end. */
  static boolean mayHaveReachedBackend(Verdict verdict) {
    return !(verdict instanceof Verdict.NotRun notRun)
        || notRun.reason() == Verdict.Reason.REJECTED;
  }

  /** Why the request is not sent again; empty if it is. */
  String noRetryReason(Exchange exchange, MeshOutboundPlan plan, Verdict verdict, long nowMillis) {
    if (!exchange.body().isReplayable()) {
      return "body not kept";
    }
    if (nowMillis + MIN_REMAINING_MILLIS > plan.deadlineMillis()) {
      return "no time left";
    }
    if (exchange.history().count() >= MAX_ATTEMPTS) {
      return "offered often enough";
    }
    if (verdict instanceof Verdict.NotRun notRun && !mayHaveReachedBackend(verdict)) {
      return switch (notRun.reason()) {
        case OVERLOADED ->
            plan.retryState().overloadRefusals() > MAX_OVERLOAD_REFUSALS ? "all are full" : "";
        case DRAINING, UNREACHABLE, NOT_READY, UNREADABLE -> "";
        default -> "refused for good";
      };
    }
    boolean certainlyNotRun = verdict instanceof Verdict.NotRun;
    if (!certainlyNotRun && !plan.rule().kind().isRepeatable()) {
      return "may have run and must not run twice";
    }
    if (plan.retryState().possiblyDelivered() >= plan.rule().maxAttempts()) {
      return "attempts of the route used up";
    }
    synchronized (window) {
      return window.tryRetry(nowMillis, plan.service(), nodeCount.getAsInt())
          ? ""
          : "retry budget used up";
    }
  }
}
