package io.umberpath.node.proxy.inbound;

import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Tier;
import io.umberpath.traffic.ChainBudget;
import java.util.Optional;

/**
 * The plan of a request whose route leads to a pool of the fleet's own register.
 *
 * @param requestId names the request between nodes and in logs
 * @param route name of its route
 * @param tenant tenant of the route
 * @param tier tier of the route
 * @param repeatable whether it may run more than once
 * @param deadlineMillis when its caller gives up, on the proxy's clock
 * @param unreadBeforeMillis for how long it may have lain unread at the nodes before this one
 * @param authorization value of the Authorization header to send, if the route has a secret
 * @param pool the back ends to choose from, at an edge
 * @param chain retries its chain of calls may still make, when it arrived
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
    ChainBudget chain)
    implements RequestPlan {}
