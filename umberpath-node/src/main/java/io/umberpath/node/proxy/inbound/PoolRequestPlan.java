package io.umberpath.node.proxy.inbound;

import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Tier;
import io.umberpath.traffic.ChainRetryBudget;
import java.util.Optional;

/**
 * The plan of a request whose route uses a pool of the fleet's own registry.
 *
 * @param requestId identifies the request between nodes and in logs
 * @param route name of the route
 * @param tenant tenant of the route
 * @param tier tier of the route
 * @param repeatable whether the request is idempotent and may run more than once
 * @param deadlineMillis the client's deadline, on the proxy's clock
 * @param unreadBeforeMillis how long the request may have been waiting unread at earlier nodes
 * @param authorization value of the Authorization header to send, if the route has a secret
 * @param pool the backends to choose from; only at an edge
 * @param chain retries that the chain of calls still had when the request arrived
 */
public record PoolRequestPlan(
    String requestId,
    String route,
    String tenant,
    Tier tier,
    boolean repeatable,
    long deadlineMillis,
    long unreadBeforeMillis,
    Optional<String> authorization,
    Optional<ProxySnapshot.PoolView> pool,
    ChainRetryBudget chain)
    implements RequestPlan {}
