package io.umberpath.node.mesh;

import com.google.common.flogger.MetadataKey;
import io.umberpath.model.Verdict;
import io.umberpath.node.logs.LogFields;
import io.umberpath.node.proxy.http.VerdictHeader;
import io.umberpath.node.proxy.inbound.UnansweredRequests;

/** Writes the lines that tell what became of requests. Thread-safe; never waits. */
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
  private static final MetadataKey<Long> COUNT = MetadataKey.single("count", Long.class);

  private final MeshEvents events;

  RequestEvents(MeshEvents events) {
    this.events = events;
  }

  void requestFailed(
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
        .log("attempts %d, sent to back ends %d", attempts, plan.retryState().possiblyDelivered());
  }

  /** A connection ended, and requests that were read from it, or bytes of some, have no answer. */
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
        .log("sent on %d, not begun %d", unanswered.sentOn(), input.isHeadUnbegun() ? 1 : 0);
  }

  void requestServed(MeshOutboundPlan plan, int attempts, long millis) {
    // Each request comes here, and nearly all go beyond the bound.
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
   * An attempt failed.
   *
   * @param against why the request is not sent again; empty if it is
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
   * A request for the back end beside this node was refused or failed. Refusals have a bound of
   * their own: while a back end is away they are so many that they would crowd out its failures.
   */
  void gateFailed(
      MeshInboundPlan plan,
      String fingerprint,
      Verdict verdict,
      String load,
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
        .log("load %s", load);
  }

  /**
   * A request of another node cannot be read: a fault of the program there or here.
   *
   * @param lacking the header that is missing or malformed
   */
  void gateHeadRefused(String requestId, String header) {
    events
        .line(MeshEvent.GATE_HEAD_REFUSED)
        .with(LogFields.REQUEST_ID, requestId)
        .with(CAUSE, header)
        .log("missing or malformed");
  }
}
