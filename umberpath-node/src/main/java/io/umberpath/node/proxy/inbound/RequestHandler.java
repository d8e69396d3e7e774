package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.vavr.control.Either;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** Handles the requests of one listener. Thread-safe. */
public interface RequestHandler {
  /** The listener, for statistics. */
  ProxyStats.Side side();

  /**
   * Decides whether and how a request is served, from its head alone.
   *
   * @param arrivedMillis the earliest time at which it can have arrived; its timeout starts there
   */
  Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis);

  /**
   * Chooses the origin of the next attempt; calls {@link Exchange#sendTo} or {@link
   * Exchange#refuse}, now or later.
   */
  void dispatch(Exchange exchange);

  /** Called right before an attempt is sent; returns a refusal if it must not be sent any more. */
  default Optional<Refusal> refusalBeforeSending(RequestPlan plan, long nowMillis) {
    return plan.deadlineMillis() <= nowMillis
        ? Optional.of(Refusal.notRun(Verdict.Reason.DEADLINE))
        : Optional.empty();
  }

  /** Adds the handler's own headers to the request of an attempt. */
  void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis);

  /**
   * Whether a request may run at the same time as others of its client connection, and be retried
   * if its response cannot be delivered. Other requests start when those before them have been
   * answered.
   */
  default boolean mayRunConcurrently(RequestPlan plan) {
    return false;
  }

  /**
   * Called when a response is longer than what can be buffered: requests behind one of this route
   * should not be started before its response is complete.
   */
  default void onLongResponse(RequestPlan plan) {}

  /**
   * Whether the node is draining: responses then close their connections, so that clients send the
   * next request to another node.
   */
  default boolean isDraining() {
    return false;
  }

  /**
   * The request id to return with the response, so that the requesting node can match it; null for
   * none.
   */
  String requestIdForResponse(RequestPlan plan);

  /** How refusals are represented to the clients of this listener. */
  default RefusalStyle refusalStyle() {
    return RefusalStyle.WHOLE_SECONDS;
  }

  /**
   * Adds the handler's own headers to a response or refusal.
   *
   * @param plan the request's plan, or null if it was refused before there was one
   */
  default void addResponseHeaders(RequestPlan plan, HttpResponsePacket response) {}

  /**
   * Whether an interim (1xx) response belongs to the request, so that it is forwarded.
   *
   * @param head its raw head
   */
  default boolean forwardsInterimResponse(RequestPlan plan, byte[] head) {
    return true;
  }

  /** Checks the head of a response; returns a refusal if another node refused the request. */
  Optional<Refusal> refusalInResponse(Exchange exchange, ResponseHead head);

  /**
   * Called once per attempt that {@link Exchange#sendTo} started, when it has ended.
   *
   * @param refusal how it failed; null if its response was complete
   * @param micros duration of the attempt, microseconds
   */
  void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros);

  /** Whether to retry after an attempt that ended with this verdict; consumes the retry budget. */
  boolean mayRetry(Exchange exchange, Verdict verdict);

  /** Called when the request has its final verdict, without the exchange's lock. */
  void requestEnded(Exchange exchange, Verdict verdict);
}
