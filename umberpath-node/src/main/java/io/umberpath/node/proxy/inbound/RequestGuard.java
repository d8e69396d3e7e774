package io.umberpath.node.proxy.inbound;

import com.google.common.flogger.FluentLogger;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.RequestHead;
import io.vavr.control.Either;
import java.util.function.BooleanSupplier;

/** Keeps a fault of the program in the handling of one request to that request. */
final class RequestGuard {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private RequestGuard() {}

  /** The handler's plan of a request, or a refusal if the handler fails. */
  static Either<Refusal, RequestPlan> plan(
      RequestHandler handler, RequestHead request, long arrivedMillis) {
    try {
      return handler.plan(request, arrivedMillis);
    } catch (RuntimeException fault) {
      logger.atSevere().withCause(fault).log("a request was not handled");
      return Either.left(Refusal.notRun(Verdict.Reason.INTERNAL));
    }
  }

  /** Has the handler dispatch a request. */
  static void dispatch(Exchange exchange, RequestHandler handler) {
    guard(
        exchange,
        () -> {
          handler.dispatch(exchange);
          return true;
        });
  }

  /**
   * Takes a step of a request, which is given up if the step throws. An exception that left the
   * filter would close the connection, without any answer. An error does that here: deferred steps
   * run outside of the filter.
   *
   * @return what the step returns; true if it throws
   */
  static boolean guard(Exchange exchange, BooleanSupplier step) {
    try {
      return step.getAsBoolean();
    } catch (RuntimeException fault) {
      logger.atSevere().withCause(fault).log("a request was not handled");
      exchange.giveUp(Verdict.Reason.INTERNAL);
      return true;
    } catch (Error fault) {
      exchange.abortConnection();
      throw fault;
    }
  }
}
