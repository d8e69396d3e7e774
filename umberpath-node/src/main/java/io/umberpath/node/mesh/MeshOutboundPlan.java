package io.umberpath.node.mesh;

import io.umberpath.model.routing.RoutingRule;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.util.Set;

/**
 * Plan of a caller's request.
 *
 * @param requestId the caller's id of this attempt
 * @param rule its route
 * @param service the part of the route it goes to
 * @param configurationVersion version of the configuration that said so
 * @param deadlineMillis when it is given up, on the proxy's clock
 * @param beganMillis when its head arrived, on the proxy's clock
 * @param target what makes it the same request as another, but for the body; see {@link
 *     RequestFingerprint#target}
 * @param returned whether its caller comes back after an earlier attempt
 * @param replacedHeaders headers this node sets itself
 * @param tally what its attempts have used
 */
record MeshOutboundPlan(
    String requestId,
    RoutingRule rule,
    String service,
    long configurationVersion,
    long deadlineMillis,
    long arrivedMillis,
    long targetHash,
    boolean isClientRetry,
    Set<String> replacedHeaders,
    RetryState retryState)
    implements RequestPlan {
  @Override
  public boolean asksBeforeBody() {
    return true;
  }

  @Override
  public String route() {
    return rule.name();
  }
}
