package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreItem;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RoutingConfiguration;
import io.vavr.control.Either;
import java.util.Optional;

/**
 * Entries of back ends whose key is the id and whose value is the port, and evacuations whose key
 * is {@code evacuate/} and the zone; no configurations.
 */
final class PortDocuments implements StoreDocuments {
  private static final String EVACUATION = "evacuate/";

  @Override
  public String prefix() {
    return "";
  }

  @Override
  public boolean isConfiguration(String key) {
    return false;
  }

  @Override
  public boolean isBackend(String key) {
    return evacuatedZone(key).isEmpty();
  }

  @Override
  public Optional<String> evacuatedZone(String key) {
    return key.startsWith(EVACUATION)
        ? Optional.of(key.substring(EVACUATION.length()))
        : Optional.empty();
  }

  @Override
  public Either<String, RoutingConfiguration> configuration(StoreItem item) {
    return Either.left("none");
  }

  @Override
  public Either<String, BackendEntry> backend(StoreItem item) {
    PeerAddress address = new PeerAddress("10.0.0.1", Integer.parseInt(item.value()));
    return Either.right(
        new BackendEntry(item.key(), "booking", address, "z", 6, BackendEntry.State.READY, 0));
  }
}
