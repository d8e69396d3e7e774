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
 * @param heldPosition the newest position whose items this node holds; they may not be in force yet
 */
record MeshView(
    RoutingConfiguration configuration,
    RoutingTable table,
    BackendDirectory backends,
    StorePosition position,
    StorePosition heldPosition) {
  static final MeshView EMPTY =
      new MeshView(
          null, null, BackendDirectory.EMPTY, StorePosition.NOTHING, StorePosition.NOTHING);

  /** Whether requests can be routed. */
  boolean isComplete() {
    return configuration != null;
  }

  /** The same at a newer position. */
  MeshView withPosition(StorePosition newPosition) {
    return new MeshView(configuration, table, backends, newPosition, newPosition);
  }

  /** The same with newer items at hand. */
  MeshView withHeldPosition(StorePosition newHeldPosition) {
    return new MeshView(configuration, table, backends, position, newHeldPosition);
  }

  /** Whether all that is held is in force. */
  boolean isFullyApplied() {
    return heldPosition.equals(position);
  }

  /** Whether a node that states a version and a position holds something that this one lacks. */
  boolean isBehind(long advertisedVersion, StorePosition advertisedPosition) {
    // Until it is in force, the version of what is held is not known.
    return advertisedPosition.isAfter(heldPosition)
        || isFullyApplied() && advertisedVersion > version();
  }

  /** Version of the configuration; -1 before the first. */
  long version() {
    return configuration == null ? -1 : configuration.version();
  }
}
