package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreItem;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.routing.RoutingTable;
import io.vavr.control.Either;

/** Parses configurations and caches the last result with its routing table. Thread-safe. */
final class ConfigurationReader {
  private final StoreItemParser parser;
  private StoreItem lastItem;
  private Either<String, RoutingConfiguration> lastResult;
  private RoutingTable lastRoutingTable;

  ConfigurationReader(StoreItemParser parser) {
    this.parser = parser;
  }

  /** The configuration of an item, or the error in it. */
  synchronized Either<String, RoutingConfiguration> read(StoreItem item) {
    if (!item.equals(lastItem)) {
      lastResult = parser.parseConfiguration(item);
      lastRoutingTable = lastResult.map(RoutingTable::of).getOrNull();
      lastItem = item;
    }
    return lastResult;
  }

  /** The routing table of a configuration. */
  synchronized RoutingTable routingTable(RoutingConfiguration configuration) {
    boolean isCached = lastResult != null && lastResult.getOrNull() == configuration;
    return isCached ? lastRoutingTable : RoutingTable.of(configuration);
  }
}
