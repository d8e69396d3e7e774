package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;

/** Ends exchanges at their deadline, and at the timeout of a drain. */
final class ExchangeTimeouts {
  private ExchangeTimeouts() {}

  /**
   * Fails a request if its deadline has passed. A response that is being sent may take a little
   * longer, since truncating it closes the connection.
   *
   * @param isLate whether reading is late: a response may have arrived unread and is waited for
   */
  static void checkDeadline(Exchange exchange, long nowMillis, boolean isLate) {
    synchronized (exchange) {
      if (isPastDeadline(exchange, nowMillis, isLate) && !mayCompleteLate(exchange, nowMillis)) {
        exchange.failWithoutRetry(Verdict.Reason.DEADLINE);
      }
    }
    exchange.runDeferredActions();
  }

  private static boolean isPastDeadline(Exchange exchange, long nowMillis, boolean isLate) {
    ExchangeStage stage = exchange.stage();
    boolean waitsForRead = isLate && stage.mayHaveReachedOrigin();
    return exchange.plan() != null
        && !waitsForRead
        && exchange.age().isPastDeadline(exchange.plan(), stage, nowMillis);
  }

  private static boolean mayCompleteLate(Exchange exchange, long nowMillis) {
    return exchange.progress().isActive(nowMillis)
        && !exchange.age().isPastOverrun(exchange.plan(), exchange.stage(), nowMillis);
  }

  /**
   * Fails a request at the drain timeout, unless its response is being sent.
   *
   * @return whether the request may have run
   */
  static boolean abortAtDrainTimeout(Exchange exchange) {
    ExchangeEnvironment environment = exchange.environment();
    boolean mayHaveRun;
    synchronized (exchange) {
      boolean isResponding = exchange.progress().isActive(environment.nowMillis());
      if (exchange.stage() == ExchangeStage.DONE || isResponding) {
        return false;
      }
      mayHaveRun = exchange.stage().mayHaveReachedOrigin();
      RequestPlan plan = exchange.plan();
      environment
          .attemptLog()
          .logCutOff(
              UnansweredRequests.idOf(exchange),
              plan == null ? "" : plan.route(),
              exchange.body().received());
      exchange.failWithoutRetry(Verdict.Reason.DRAINING);
    }
    exchange.runDeferredActions();
    return mayHaveRun;
  }
}
