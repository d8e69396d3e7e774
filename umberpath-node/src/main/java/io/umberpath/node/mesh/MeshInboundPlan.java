package io.umberpath.node.mesh;

import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.util.Set;

/**
 * Plan of another node's request for the back end beside this node.
 *
 * @param requestId the caller's id of its attempt
 * @param hop what the other node says
 * @param deadlineMillis when it is given up, on the proxy's clock
 * @param unreadBeforeMillis for how long it may have lain unread at the node before
 * @param beganMillis when its head arrived, on the proxy's clock
 * @param target what makes it the same request as another, but for the body; see {@link
 *     RequestFingerprint#target}
 * @param replacedHeaders headers this node sets itself
 */
record MeshInboundPlan(
    String requestId,
    HopHeader hop,
    long deadlineMillis,
    long previousHopUnreadMillis,
    long arrivedMillis,
    long targetHash,
    Set<String> replacedHeaders)
    implements RequestPlan {
  @Override
  public String route() {
    return hop.route();
  }

  /** When its caller gives up at the latest, on the proxy's clock, milliseconds. */
  long latestDeadlineMillis() {
    return deadlineMillis + previousHopUnreadMillis;
  }

  String instance() {
    return hop.instance();
  }
}
