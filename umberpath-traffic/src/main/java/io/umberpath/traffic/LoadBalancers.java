package io.umberpath.traffic;

/** Creates load balancers. */
public final class LoadBalancers {
  private LoadBalancers() {}

  /** Creates a balancer without state, for all pools of one edge proxy. */
  public static LoadBalancer create(BalancerSettings settings) {
    return new LeastLoadBalancer(settings);
  }
}
