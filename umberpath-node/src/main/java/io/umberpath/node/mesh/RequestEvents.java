package io.umberpath.node.mesh;

import com.google.common.flogger.LazyArgs;
import com.google.common.flogger.MetadataKey;
import io.umberpath.model.Verdict;
import io.umberpath.node.logs.LogFields;
import io.umberpath.node.proxy.http.VerdictHeader;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.inbound.UnansweredRequests;

/** Logs and counts the outcomes of requests. Thread-safe; never blocks. */
final class RequestEvents {
  private static final MetadataKey<String> BACKEND = MetadataKey.single("backend", String.class);
  private static final MetadataKey<String> SOURCE = MetadataKey.single("source", String.class);
  private static final MetadataKey<String> CAUSE = MetadataKey.single("cause", String.class);
  private static final MetadataKey<String> ROUTE = MetadataKey.single("route", String.class);
  private static final MetadataKey<String> FINGERPRINT =
      MetadataKey.single("fingerprint", String.class);
  private static final MetadataKey<Long> CONFIGURATION =
      MetadataKey.single("configuration", Long.class);
  private static final MetadataKey<Long> MILLIS = MetadataKey.single("millis", Long.class);
  private static final MetadataKey<Long> UNREAD = MetadataKey.single("unreadMillis", Long.class);
  private static final MetadataKey<Long> PORT = MetadataKey.single("port", Long.class);
  private static final MetadataKey<Long> DROPPED = MetadataKey.single("droppedBytes", Long.class);
  private static final MetadataKey<Long> QUEUED = MetadataKey.single("queuedMillis", Long.class);
  private static final MetadataKey<Long> BYTES = MetadataKey.single("bytes", Long.class);
  private static final MetadataKey<Long> COUNT = MetadataKey.single("count", Long.class);

  private final MeshEvents events;
  private final RouteSummaries summaries = new RouteSummaries();

  RequestEvents(MeshEvents events) {
    this.events = events;
  }

  /** Returns the counts of ended requests for the next summary of each route. */
  RouteSummaries summaries() {
    return summaries;
  }

  /** Counts a request that was refused before it had a plan. */
  void requestWithoutPlanEnded(Exchange exchange, Verdict verdict) {
    summaries.record(
        RouteSummaries.NO_ROUTE, EndedRequest.of(exchange, verdict, 0, Long.MAX_VALUE, false));
  }

  /** Counts the end of another node's request for the local backend. */
  void gateRequestEnded(Exchange exchange, MeshInboundPlan plan, Verdict verdict, long millis) {
    HopHeader hop = plan.hop();
    summaries.record(
        plan.route(),
        EndedRequest.of(exchange, verdict, millis, hop.targetInMillis(), hop.isRetry()));
  }

  /** Counts and logs the end of a client's request. */
  void requestEnded(Exchange exchange, MeshOutboundPlan plan, Verdict verdict, long millis) {
    long targetMillis = plan.rule().targetLatencyMillis();
    summaries.record(
        plan.route(),
        EndedRequest.of(exchange, verdict, millis, targetMillis, plan.isClientRetry()));
    if (verdict instanceof Verdict.Completed) {
      requestServed(plan, exchange.history().count(), millis);
      return;
    }
    boolean isQuarantined = VerdictHeader.reasonOf(verdict) == Verdict.Reason.QUARANTINED;
    requestFailed(
        plan,
        isQuarantined ? Fingerprints.logText(exchange, plan.targetHash()) : "",
        exchange.history().count(),
        verdict,
        millis,
        exchange.age().unreadMillis());
  }

  private void requestFailed(
      MeshOutboundPlan plan,
      String fingerprint,
      int attempts,
      Verdict verdict,
      long millis,
      long unreadMillis) {
    events
        .line(MeshEvent.REQUEST_FAILED)
        .with(LogFields.REQUEST_ID, plan.requestId())
        .with(ROUTE, plan.route())
        .with(CONFIGURATION, plan.configurationVersion())
        .with(LogFields.OUTCOME, VerdictHeader.format(verdict))
        .with(FINGERPRINT, fingerprint)
        .with(MILLIS, millis)
        .with(UNREAD, unreadMillis)
        .log(
            "attempts %d, sent to back ends %d",
            attempts, plan.retryState().possiblyDeliveredCount());
  }

  void longResponses(RequestPlan plan) {
    events
        .line(MeshEvent.LONG_RESPONSES)
        .with(LogFields.REQUEST_ID, plan.requestId())
        .with(ROUTE, plan.route())
        .log("pipelined requests behind one of this route wait until it is answered");
  }

  /**
   * Logs that a connection ended while requests, or bytes of requests, read from it were
   * unanswered.
   */
  void connectionEnded(UnansweredRequests unanswered) {
    UnansweredRequests.Input input = unanswered.input();
    events
        .line(MeshEvent.CONNECTION_ENDED)
        .with(CAUSE, MeshEvents.label(unanswered.end()))
        .with(SOURCE, MeshEvents.label(unanswered.side()))
        .with(COUNT, (long) unanswered.requestIds().size())
        .with(LogFields.REQUEST_ID, String.join(" ", unanswered.requestIds()))
        .with(PORT, (long) input.peerPort())
        .with(DROPPED, input.droppedBytes())
        .with(MILLIS, input.droppedAfterMillis())
        .log("sent on %d, not begun %d", unanswered.sentToOrigin(), input.isHeadUnbegun() ? 1 : 0);
  }

  private void requestServed(MeshOutboundPlan plan, int attempts, long millis) {
    // Called for every request, and nearly all lines are above the rate limit.
    if (!events.tryAcquireLine(MeshEvent.REQUEST_SERVED)) {
      return;
    }
    MeshEvents.line(MeshEvent.REQUEST_SERVED, true)
        .with(LogFields.REQUEST_ID, plan.requestId())
        .with(ROUTE, plan.route())
        .with(CONFIGURATION, plan.configurationVersion())
        .with(MILLIS, millis)
        .log("attempts %d", attempts);
  }

  /**
   * Logs a failed attempt.
   *
   * @param noRetryReason why the request is not retried; empty if it is retried
   */
  void attemptFailed(
      MeshOutboundPlan plan,
      String backend,
      String fingerprint,
      Verdict verdict,
      String noRetryReason) {
    events
        .line(MeshEvent.ATTEMPT_FAILED)
        .with(LogFields.REQUEST_ID, plan.requestId())
        .with(BACKEND, backend)
        .with(LogFields.OUTCOME, VerdictHeader.format(verdict))
        .with(FINGERPRINT, fingerprint)
        .with(CAUSE, noRetryReason)
        .log("%s", noRetryReason.isEmpty() ? "sent again" : "not sent again");
  }

  /**
   * Logs a refused or failed request for the local backend. Refusals have a separate rate limit:
   * while a backend is unavailable they are so frequent that they would displace its failures.
   */
  void gateFailed(
      MeshInboundPlan plan,
      String fingerprint,
      Verdict verdict,
      LocalBackendLoad load,
      long millis,
      long unreadMillis) {
    boolean refused = verdict instanceof Verdict.NotRun;
    events
        .line(refused ? MeshEvent.GATE_REFUSED : MeshEvent.GATE_FAILED)
        .with(LogFields.REQUEST_ID, plan.requestId())
        .with(BACKEND, plan.instance())
        .with(LogFields.OUTCOME, VerdictHeader.format(verdict))
        .with(FINGERPRINT, fingerprint)
        .with(MILLIS, millis)
        .with(UNREAD, unreadMillis)
        .log("load %s", LazyArgs.lazy(load::describe));
  }

  /**
   * Logs that the body of an upload was received.
   *
   * @param queuedMillis from the arrival of the request until the sender was asked for the body
   * @param transferMillis from then on until it was received
   * @param queued bodies still queued
   */
  void uploadReceived(
      MeshInboundPlan plan, long bytes, long queuedMillis, long transferMillis, int queued) {
    if (!events.tryAcquireLine(MeshEvent.UPLOAD_RECEIVED)) {
      return;
    }
    MeshEvents.line(MeshEvent.UPLOAD_RECEIVED, true)
        .with(LogFields.REQUEST_ID, plan.requestId())
        .with(ROUTE, plan.route())
        .with(BYTES, bytes)
        .with(QUEUED, queuedMillis)
        .with(MILLIS, transferMillis)
        .with(COUNT, (long) queued)
        .log("bodies queued %d", queued);
  }

  /**
   * Logs that a request of another node cannot be read: a bug in the software of that node or this
   * one.
   *
   * @param header the header that is missing or malformed
   */
  void gateHeadRefused(String requestId, String header) {
    events
        .line(MeshEvent.GATE_HEAD_REFUSED)
        .with(LogFields.REQUEST_ID, requestId)
        .with(CAUSE, header)
        .log("missing or malformed");
  }
}
