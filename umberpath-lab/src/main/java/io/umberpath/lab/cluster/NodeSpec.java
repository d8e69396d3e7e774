package io.umberpath.lab.cluster;

import java.util.Optional;

/**
 * One node of the cluster.
 *
 * @param name short name for tables
 * @param host its loopback address
 * @param zone its zone
 * @param backendId the back end beside it; none on an edge node
 */
public record NodeSpec(String name, String host, String zone, Optional<String> backendId) {
  /** Address for other nodes. */
  public String control() {
    return host + ":" + Ports.CONTROL;
  }

  /** Whether it serves callers. */
  public boolean isEdge() {
    return backendId.isEmpty();
  }
}
