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
final class EdgeRetries {
  /** Offers that a full node may refuse instead of queueing the request. */
  static final int MAX_BOUNCES = 2;

  /** Most nodes that one request is offered to. */
  private static final int MAX_OFFERS = 5;

  /** Time a further attempt needs at least, milliseconds. */
  private static final long MIN_REMAINING_MILLIS = 15;

  /** Routes whose requests the back end beside this node sends, as gates have said of them. */
  private final Set<String> nestedRoutes = ConcurrentHashMap.newKeySet();

  private final RetryWindow window;
  private final IntSupplier nodes;
  private final DoubleSupplier repeatShare;

  /**
   * Creates one that has counted nothing.
   *
   * @param nodes nodes that share the budget
   * @param repeatShare share of what the back end beside this node works on that may have run
   *     elsewhere before: what it calls meanwhile counts as repeated by that share
   */
  EdgeRetries(MeshSettings.Retry bounds, IntSupplier nodes, DoubleSupplier repeatShare) {
    this.window = new RetryWindow(bounds.windowMillis(), bounds.ratio(), bounds.extra());
    this.nodes = nodes;
    this.repeatShare = repeatShare;
  }

  /** A request for the service begins here. */
  void requestStarted(long nowMillis, String route, String service) {
    synchronized (window) {
      if (nestedRoutes.contains(route)) {
        window.repeated(nowMillis, service, repeatShare.getAsDouble());
      } else {
        window.requestStarted(nowMillis, service);
      }
    }
  }

  /** A gate said that the route's requests are sent by back ends. */
  void nestedRouteSeen(String route) {
    nestedRoutes.add(route);
  }

  /** Whether an attempt that ended so may have arrived at a back end. */
  static boolean arrived(Verdict verdict) {
    return !(verdict instanceof Verdict.NotRun notRun)
        || notRun.reason() == Verdict.Reason.REJECTED;
  }

  /** Why the request is not sent again; empty if it is. */
  String against(Exchange exchange, MeshEdgePlan plan, Verdict verdict, long nowMillis) {
    if (!exchange.body().isReplayable()) {
      return "body not kept";
    }
    if (nowMillis + MIN_REMAINING_MILLIS > plan.deadlineMillis()) {
      return "no time left";
    }
    if (exchange.history().count() >= MAX_OFFERS) {
      return "offered often enough";
    }
    if (verdict instanceof Verdict.NotRun notRun && !arrived(verdict)) {
      return switch (notRun.reason()) {
        case OVERLOADED -> plan.tally().bounces() > MAX_BOUNCES ? "all are full" : "";
        case DRAINING, UNREACHABLE, NOT_READY, UNREADABLE -> "";
        default -> "refused for good";
      };
    }
    boolean firm = verdict instanceof Verdict.NotRun;
    if (!firm && !plan.rule().kind().isRepeatable()) {
      return "may have run and must not run twice";
    }
    if (plan.tally().arrivals() >= plan.rule().maxAttempts()) {
      return "attempts of the route used up";
    }
    synchronized (window) {
      return window.tryRetry(nowMillis, plan.service(), nodes.getAsInt())
          ? ""
          : "retry budget used up";
    }
  }
}
