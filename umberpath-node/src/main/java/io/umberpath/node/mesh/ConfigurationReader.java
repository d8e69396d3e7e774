package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreItem;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.routing.RoutingTable;
import io.vavr.control.Either;

/** Reads configurations, and keeps what it made of the last one. Thread-safe. */
final class ConfigurationReader {
  private final StoreDocuments documents;
  private StoreItem lastItem;
  private Either<String, RoutingConfiguration> lastResult;
  private RoutingTable lastRoutingTable;

  ConfigurationReader(StoreDocuments documents) {
    this.documents = documents;
  }

  /** The configuration of an item, or what is wrong with it. */
  synchronized Either<String, RoutingConfiguration> read(StoreItem item) {
    if (!item.equals(lastItem)) {
      lastResult = documents.configuration(item);
      lastRoutingTable = lastResult.map(RoutingTable::of).getOrNull();
      lastItem = item;
    }
    return lastResult;
  }

  /** The routes of a configuration. */
  synchronized RoutingTable routingTable(RoutingConfiguration configuration) {
    boolean isCached = lastResult != null && lastResult.getOrNull() == configuration;
    return isCached ? lastRoutingTable : RoutingTable.of(configuration);
  }
}
