package io.umberpath.node.mesh;

import io.umberpath.control.store.StorePosition;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.routing.RoutingTable;

/**
 * What a node believes at one moment. Immutable.
 *
 * @param configuration the configuration in force, or null before the first
 * @param table its routes, or null before the first
 * @param backends the back ends
 * @param position the store's position of the back ends
 */
record MeshView(
    RoutingConfiguration configuration,
    RoutingTable table,
    BackendDirectory backends,
    StorePosition position) {
  static final MeshView NOTHING =
      new MeshView(null, null, BackendDirectory.EMPTY, StorePosition.NOTHING);

  /** Whether requests can be routed. */
  boolean isComplete() {
    return configuration != null;
  }

  /** Version of the configuration; -1 before the first. */
  long version() {
    return configuration == null ? -1 : configuration.version();
  }
}
