package io.umberpath.node.mesh;

import io.umberpath.model.routing.RoutingRule;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.util.Set;

/**
 * Plan of a client's request.
 *
 * @param requestId the client's id of this attempt
 * @param rule the request's route
 * @param service the service of the route that was chosen for the request
 * @param configurationVersion version of the configuration that contains the route
 * @param deadlineMillis deadline, on the proxy's clock
 * @param arrivedMillis time at which the request's head arrived, on the proxy's clock
 * @param targetHash hash of everything that identifies the request except its body; see {@link
 *     RequestFingerprint#target}
 * @param isClientRetry whether the client has sent this request before
 * @param replacedHeaders headers that this node sets itself
 * @param retryState counts and outcomes of the request's attempts
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
  public boolean awaitsContinueBeforeBody() {
    return true;
  }

  @Override
  public String route() {
    return rule.name();
  }
}
