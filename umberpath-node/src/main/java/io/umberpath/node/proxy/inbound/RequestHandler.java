package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.AnswerHead;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.vavr.control.Either;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** What one listener does with its requests. Thread-safe. */
public interface RequestHandler {
  /** The listener, for counting. */
  ProxyStats.Side side();

  /**
   * Decides whether and how a request is served, from its head alone.
   *
   * @param arrivedMillis the earliest moment at which it can have arrived; its time runs since then
   */
  Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis);

  /**
   * Chooses where the next attempt goes; calls {@link Exchange#sendTo} or {@link Exchange#refuse},
   * at once or later.
   */
  void dispatch(Exchange exchange);

  /** Asked right before an attempt is sent: why it is not to be, if there is a reason. */
  default Optional<Refusal> refusalAtSending(RequestPlan plan, long nowMillis) {
    return plan.deadlineMillis() <= nowMillis
        ? Optional.of(Refusal.notRun(Verdict.Reason.DEADLINE))
        : Optional.empty();
  }

  /** Adds the handler's own headers to the request of an attempt. */
  void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis);

  /**
   * Whether a request may run at the same time as others of its caller's connection, and again if
   * its answer cannot be sent. Others start when those before them have been answered.
   */
  default boolean mayRunBesideOthers(RequestPlan plan) {
    return false;
  }

  /** Whether answers ask callers to go elsewhere with their next request. */
  default boolean isLeaving() {
    return false;
  }

  /** The id to send back with the answer, so that the other node can match it; null for none. */
  String echoedId(RequestPlan plan);

  /** How refusals are told to the callers of this listener. */
  default RefusalStyle refusalStyle() {
    return RefusalStyle.WHOLE_SECONDS;
  }

  /**
   * Adds the handler's own headers to an answer or refusal.
   *
   * @param plan the request's plan, or null if it was refused before there was one
   */
  default void addAnswerHeaders(RequestPlan plan, HttpResponsePacket answer) {}

  /** Looks at an answer's head: a refusal that another node answered, if it is one. */
  Optional<Refusal> refusalIn(Exchange exchange, AnswerHead head);

  /**
   * An attempt ended; called once per attempt that {@link Exchange#sendTo} began.
   *
   * @param refusal how it failed; null if it was answered whole
   */
  void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros);

  /** Whether to dispatch again after an attempt that ended so; takes from the retry budget. */
  boolean mayRetry(Exchange exchange, Verdict verdict);

  /** The request has its final outcome. Called without the exchange's lock. */
  void ended(Exchange exchange, Verdict verdict);
}
