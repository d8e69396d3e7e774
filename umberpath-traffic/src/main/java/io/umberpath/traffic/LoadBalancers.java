package io.umberpath.traffic;

/** Creates load balancers. */
public final class LoadBalancers {
  private LoadBalancers() {}

  /** A balancer that has seen nothing yet, for all pools of one edge proxy. */
  public static LoadBalancer create(BalancerSettings settings) {
    return new LeastLoadBalancer(settings);
  }
}
