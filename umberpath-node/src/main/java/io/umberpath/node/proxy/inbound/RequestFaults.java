package io.umberpath.node.proxy.inbound;

import com.google.common.flogger.FluentLogger;
import io.umberpath.model.Verdict;
import java.util.function.BooleanSupplier;

/** Keeps a fault of the program in the handling of one request to that request. */
final class RequestFaults {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private RequestFaults() {}

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
   * filter would close the connection, without any answer.
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
    }
  }
}
