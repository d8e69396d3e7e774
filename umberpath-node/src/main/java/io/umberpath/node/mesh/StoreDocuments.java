package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreItem;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.load.BackendStatement;
import io.vavr.control.Either;
import java.util.Optional;

/** Reads the store's items, and what back ends say of themselves. Thread-safe. */
public interface StoreDocuments {
  /** Beginning of the keys to follow. */
  String prefix();

  /** Whether the item is the configuration. */
  boolean isConfiguration(String key);

  /** Whether the item is a back end's entry. */
  boolean isBackend(String key);

  /** The zone whose evacuation the item is; empty if it is none. */
  Optional<String> evacuatedZone(String key);

  /** The configuration, or what is wrong with it: field and value. */
  Either<String, RoutingConfiguration> configuration(StoreItem item);

  /** Reads an example of a configuration with as many rules, as one from the store. */
  RoutingConfiguration readExample(int rules);

  /** A back end's entry, or what is wrong with it: field and value. */
  Either<String, BackendEntry> backend(StoreItem item);

  /** What a back end says of itself with an answer, or what is wrong with it. */
  Either<String, BackendStatement> statement(String text);
}
