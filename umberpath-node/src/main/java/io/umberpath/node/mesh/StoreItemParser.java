package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreItem;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.load.BackendStatement;
import io.vavr.control.Either;
import java.util.Optional;

/** Parses the store's items and the statements of backends. Thread-safe. */
public interface StoreItemParser {
  /** Prefix of the keys to follow. */
  String prefix();

  /** Whether this is the key of the configuration. */
  boolean isConfigurationKey(String key);

  /** Whether this is the key of a backend's entry. */
  boolean isBackendKey(String key);

  /** The zone of an evacuation key; empty for other keys. */
  Optional<String> evacuatedZone(String key);

  /** Parses the configuration; the left side names the invalid field and its value. */
  Either<String, RoutingConfiguration> parseConfiguration(StoreItem item);

  /** Parses an example configuration with a number of rules, as if it came from the store. */
  RoutingConfiguration parseExample(int rules);

  /** Parses a backend's entry; the left side names the invalid field and its value. */
  Either<String, BackendEntry> parseBackend(StoreItem item);

  /** Parses the statement that a backend adds to a response; the left side is the error. */
  Either<String, BackendStatement> parseStatement(String text);

  /**
   * Parses the limit that a backend announces in a response, requests per second, at least 0; the
   * left side is the error.
   */
  Either<String, Double> parseRequestLimit(String text);

  /** Parses whether a backend announces its end in a response; the left side is the error. */
  Either<String, Boolean> parseLeaving(String text);
}
