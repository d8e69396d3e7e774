package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreItem;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.model.routing.RequestLimits;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.model.routing.ServiceDefinition;
import io.umberpath.traffic.load.BackendStatement;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A simple format of store items. A backend's entry has the id as key, and as value the port, or
 * port, start time, service and state joined by {@code @}. An evacuation has the key {@code
 * evacuate/} and the zone. A configuration has the name of its only service as value, optionally
 * followed by {@code @} and the version.
 */
class FakeStoreItemParser implements StoreItemParser {
  private static final String CONFIGURATION = "configuration";
  private static final String EVACUATION = "evacuate/";

  @Override
  public String prefix() {
    return "";
  }

  @Override
  public boolean isConfigurationKey(String key) {
    return key.equals(CONFIGURATION);
  }

  @Override
  public boolean isBackendKey(String key) {
    return evacuatedZone(key).isEmpty() && !isConfigurationKey(key);
  }

  @Override
  public Optional<String> evacuatedZone(String key) {
    return key.startsWith(EVACUATION)
        ? Optional.of(key.substring(EVACUATION.length()))
        : Optional.empty();
  }

  @Override
  public Either<String, RoutingConfiguration> parseConfiguration(StoreItem item) {
    String[] parts = item.value().split("@");
    ServiceDefinition service = new ServiceDefinition(parts[0], "/healthz", 130, 0, 0);
    return Either.right(
        new RoutingConfiguration(
            parts.length > 1 ? Long.parseLong(parts[1]) : item.revision(),
            new RequestLimits(1, 1, 1, 1),
            List.of(),
            Map.of(service.name(), service)));
  }

  @Override
  public RoutingConfiguration parseExample(int rules) {
    return new RoutingConfiguration(1, new RequestLimits(1, 1, 1, 1), List.of(), Map.of());
  }

  @Override
  public Either<String, BackendStatement> parseStatement(String text) {
    return Either.left("none");
  }

  @Override
  public Either<String, Double> parseRequestLimit(String text) {
    return Either.right(Double.parseDouble(text));
  }

  @Override
  public Either<String, Boolean> parseLeaving(String text) {
    return Either.right(text.equals("1"));
  }

  @Override
  public Either<String, BackendEntry> parseBackend(StoreItem item) {
    if (item.value().isEmpty()) {
      return Either.left("no entry");
    }
    String[] parts = item.value().split("@");
    PeerAddress address = new PeerAddress("10.0.0.1", Integer.parseInt(parts[0]));
    long startTimeMillis =
        parts.length > 1 ? Long.parseLong(parts[1]) : BackendStart.UNKNOWN_START_TIME_MILLIS;
    String service = parts.length > 2 ? parts[2] : "booking";
    BackendEntry.State state =
        parts.length > 3 ? BackendEntry.State.valueOf(parts[3]) : BackendEntry.State.READY;
    return Either.right(
        new BackendEntry(item.key(), service, address, "z", 6, state, 0, startTimeMillis));
  }
}
