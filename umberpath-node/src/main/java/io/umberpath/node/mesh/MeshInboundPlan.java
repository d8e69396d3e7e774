package io.umberpath.node.mesh;

import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.util.Set;

/**
 * Plan of another node's request for the local backend.
 *
 * @param requestId the client's id of its attempt
 * @param hop data from the other node
 * @param deadlineMillis deadline, on the proxy's clock
 * @param unreadBeforeMillis how long the request may have been unread at the previous node
 * @param arrivedMillis time at which the request's head arrived, on the proxy's clock
 * @param targetHash hash of everything that identifies the request except its body; see {@link
 *     RequestFingerprint#target}
 * @param replacedHeaders headers that this node sets itself
 */
record MeshInboundPlan(
    String requestId,
    HopHeader hop,
    long deadlineMillis,
    long unreadBeforeMillis,
    long arrivedMillis,
    long targetHash,
    Set<String> replacedHeaders)
    implements RequestPlan {
  @Override
  public String route() {
    return hop.route();
  }

  /** Returns the latest time at which the client gives up, on the proxy's clock, milliseconds. */
  long latestDeadlineMillis() {
    return deadlineMillis + unreadBeforeMillis;
  }

  String instance() {
    return hop.instance();
  }
}
