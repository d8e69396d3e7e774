package io.umberpath.node.mesh;

import io.umberpath.model.Tier;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.routing.LatencyAwareBalancer;

/** Creates the requests with which a request of another node asks for the link and for a slot. */
final class AdmissionRequests {
  /** Least time that a response takes back to the client, milliseconds. */
  private static final long RESPONSE_TRANSIT_MILLIS = 8;

  /**
   * Time that the local backend works on a request.
   *
   * @param expectedMicros mean of its route, microseconds; 0 if not known
   * @param likelyMaxMicros time that it takes at most in about four cases of five, microseconds; 0
   *     if not known
   */
  record WorkTime(long expectedMicros, long likelyMaxMicros) {}

  private AdmissionRequests() {}

  /**
   * Creates the request for the link. The transfer is followed by the wait for a slot and the work.
   *
   * @param transferMicros time from asking for the body until it is received, microseconds
   * @param slotWaitMicros expected wait for a slot from then on, microseconds
   */
  static AdmissionRequest forBody(
      long id,
      MeshInboundPlan plan,
      WorkTime work,
      long transferMicros,
      long slotWaitMicros,
      boolean isNested) {
    WorkTime total =
        new WorkTime(
            transferMicros + work.expectedMicros(),
            transferMicros + slotWaitMicros + work.likelyMaxMicros());
    return create(id, plan, total, plan.hop().toleratedWaitMillis(), isNested);
  }

  /**
   * Creates the request for a slot of the backend.
   *
   * @param wasTransferred whether a long body was received, which makes it better to wait here than
   *     to be sent again to another node
   */
  static AdmissionRequest forSlot(
      long id, MeshInboundPlan plan, WorkTime work, boolean wasTransferred, boolean isNested) {
    long toleratedWaitMillis =
        wasTransferred ? LatencyAwareBalancer.ANY_WAIT_MILLIS : plan.hop().toleratedWaitMillis();
    return create(id, plan, work, toleratedWaitMillis, isNested);
  }

  private static AdmissionRequest create(
      long id, MeshInboundPlan plan, WorkTime work, long toleratedWaitMillis, boolean isNested) {
    HopHeader hop = plan.hop();
    long arrivedMillis = plan.arrivedMillis();
    return new AdmissionRequest(
        id,
        plan.requestId(),
        "",
        Tier.STANDARD,
        plan.deadlineMillis() - RESPONSE_TRANSIT_MILLIS,
        work.expectedMicros(),
        work.likelyMaxMicros(),
        toleratedWaitMillis,
        arrivedMillis + hop.dueInMillis(),
        arrivedMillis + hop.targetInMillis(),
        arrivedMillis + hop.refuseWithinMillis(),
        arrivedMillis + hop.startWithinMillis(),
        isNested);
  }
}
