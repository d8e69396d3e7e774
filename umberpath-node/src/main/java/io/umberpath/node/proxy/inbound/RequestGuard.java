package io.umberpath.node.proxy.inbound;

import com.google.common.flogger.FluentLogger;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.RequestHead;
import io.vavr.control.Either;
import java.util.function.BooleanSupplier;

/** Confines an exception in the handling of one request to that request. */
final class RequestGuard {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private RequestGuard() {}

  /** The handler's plan of a request, or a refusal if the handler throws. */
  static Either<Refusal, RequestPlan> plan(
      RequestHandler handler, RequestHead request, long arrivedMillis) {
    try {
      return handler.plan(request, arrivedMillis);
    } catch (RuntimeException fault) {
      logger.atSevere().withCause(fault).log("request handler failed");
      return Either.left(Refusal.notRun(Verdict.Reason.INTERNAL));
    }
  }

  /** Dispatches a request through the handler. */
  static void dispatch(Exchange exchange, RequestHandler handler) {
    guard(
        exchange,
        () -> {
          handler.dispatch(exchange);
          return true;
        });
  }

  /**
   * Runs a step of a request and fails the request if the step throws. An exception that left the
   * filter would close the connection without a response. An {@link Error} closes the connection
   * explicitly, since deferred steps run outside of the filter.
   *
   * @return the step's result; true if it throws an exception
   */
  static boolean guard(Exchange exchange, BooleanSupplier step) {
    try {
      return step.getAsBoolean();
    } catch (RuntimeException fault) {
      logger.atSevere().withCause(fault).log("request handler failed");
      exchange.failWithoutRetry(Verdict.Reason.INTERNAL);
      return true;
    } catch (Error fault) {
      exchange.abortConnection();
      throw fault;
    }
  }
}
