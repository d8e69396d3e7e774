package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.traffic.routing.RetryBudgetWindow;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/**
 * Decides whether a request is retried, within the limits of its route and the retry budget that
 * all nodes share. Thread-safe.
 */
final class OutboundRetryPolicy {
  /** Attempts per request that a node with a full backend may refuse instead of queueing. */
  static final int MAX_OVERLOAD_REFUSALS = 2;

  /** Most attempts for one request, refused ones included. */
  private static final int MAX_ATTEMPTS = 5;

  /** Least time before the deadline that a further attempt needs, milliseconds. */
  private static final long MIN_REMAINING_MILLIS = 15;

  /**
   * Routes whose requests are sent by the local backend, as reported by the inbound side of other
   * nodes.
   */
  private final Set<String> nestedRoutes = ConcurrentHashMap.newKeySet();

  private final RetryBudgetWindow window;
  private final IntSupplier nodeCount;
  private final DoubleSupplier retriedWorkShare;

  /**
   * Creates a policy with an unused retry budget.
   *
   * @param nodeCount number of nodes that share the budget
   * @param retriedWorkShare share of the local backend's running requests that may have run on
   *     another backend before; that share of its nested calls counts as retries
   */
  OutboundRetryPolicy(
      MeshSettings.Retry bounds, IntSupplier nodeCount, DoubleSupplier retriedWorkShare) {
    this.window = new RetryBudgetWindow(bounds.windowMillis(), bounds.ratio(), bounds.extra());
    this.nodeCount = nodeCount;
    this.retriedWorkShare = retriedWorkShare;
  }

  /** Records a new request for the service in the retry budget. */
  void recordRequest(long nowMillis, String route, String service) {
    synchronized (window) {
      if (nestedRoutes.contains(route)) {
        window.recordRetries(nowMillis, service, retriedWorkShare.getAsDouble());
      } else {
        window.recordRequest(nowMillis, service);
      }
    }
  }

  /** Marks the route as one whose requests are sent by backends. */
  void addNestedRoute(String route) {
    nestedRoutes.add(route);
  }

  /** Returns whether an attempt with this verdict may have been delivered to a backend. */
  static boolean mayHaveReachedBackend(Verdict verdict) {
    return !(verdict instanceof Verdict.NotRun notRun)
        || notRun.reason() == Verdict.Reason.REJECTED;
  }

  /** Returns the reason why the request is not retried; empty if it is retried. */
  String noRetryReason(Exchange exchange, MeshOutboundPlan plan, Verdict verdict, long nowMillis) {
    return exchange.body().isReplayable()
        ? noRetryReason(exchange.history().count(), plan, verdict, nowMillis)
        : "body not buffered";
  }

  /**
   * Returns the reason why a request that could be sent again is not retried; empty if it is.
   *
   * @param attempts attempts made so far
   */
  String noRetryReason(int attempts, MeshOutboundPlan plan, Verdict verdict, long nowMillis) {
    if (nowMillis + MIN_REMAINING_MILLIS > plan.deadlineMillis()) {
      return "not enough time left";
    }
    if (attempts >= MAX_ATTEMPTS) {
      return "attempt limit reached";
    }
    if (verdict instanceof Verdict.NotRun notRun && !mayHaveReachedBackend(verdict)) {
      return switch (notRun.reason()) {
        case OVERLOADED ->
            plan.retryState().overloadRefusalCount() > MAX_OVERLOAD_REFUSALS ? "all are full" : "";
        case DRAINING, UNREACHABLE, NOT_READY, UNREADABLE -> "";
        default -> "refusal is final";
      };
    }
    boolean certainlyNotRun = verdict instanceof Verdict.NotRun;
    if (!certainlyNotRun && !plan.rule().kind().isRepeatable()) {
      return "may have run and must not run twice";
    }
    if (plan.retryState().possiblyDeliveredCount() >= plan.rule().maxAttempts()) {
      return "attempt limit of the route reached";
    }
    synchronized (window) {
      return window.tryRetry(nowMillis, plan.service(), nodeCount.getAsInt())
          ? ""
          : "retry budget exhausted";
    }
  }
}
