package io.umberpath.node.mesh;

import io.umberpath.control.store.StorePosition;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.routing.RoutingTable;

/**
 * A snapshot of what a node knows. Immutable.
 *
 * @param configuration the configuration in force, or null before the first
 * @param routingTable its routing table, or null before the first
 * @param backends the backends
 * @param position the store's position of {@code backends}
 * @param heldPosition the newest position whose items this node holds; they may not be in force yet
 */
record MeshView(
    RoutingConfiguration configuration,
    RoutingTable routingTable,
    BackendDirectory backends,
    StorePosition position,
    StorePosition heldPosition) {
  static final MeshView EMPTY =
      new MeshView(
          null, null, BackendDirectory.EMPTY, StorePosition.UNKNOWN, StorePosition.UNKNOWN);

  /** Whether requests can be routed. */
  boolean isComplete() {
    return configuration != null;
  }

  /** Returns this view at a newer position, with everything applied. */
  MeshView withPosition(StorePosition newPosition) {
    return new MeshView(configuration, routingTable, backends, newPosition, newPosition);
  }

  /** Returns this view with newer held items that are not applied yet. */
  MeshView withHeldPosition(StorePosition newHeldPosition) {
    return new MeshView(configuration, routingTable, backends, position, newHeldPosition);
  }

  /** Whether all held items are in force. */
  boolean isFullyApplied() {
    return heldPosition.equals(position);
  }

  /** Whether a node that advertises a version and a position has something newer. */
  boolean isBehind(long advertisedVersion, StorePosition advertisedPosition) {
    // The version of held items is unknown until they are applied.
    return advertisedPosition.isAfter(heldPosition)
        || isFullyApplied() && advertisedVersion > version();
  }

  /** Version of the configuration; -1 before the first. */
  long version() {
    return configuration == null ? -1 : configuration.version();
  }
}
