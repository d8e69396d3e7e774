package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Collections;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Sends requests of one host and path prefix to a pool.
 *
 * @param name unique route name
 * @param tenant owner
 * @param tier priority tier
 * @param host exact host (lower case, no port), or {@code *} for any
 * @param pathPrefix path prefix beginning with {@code /}; the longest matching prefix wins
 * @param pool name of the pool that serves the requests
 * @param secret name of the secret whose value is sent as {@code Authorization: Bearer}, if any
 * @param repeatableMethods methods whose requests may run more than once; all others run at most
 *     once
 * @param timeoutMillis longest time a request may take, milliseconds
 */
public record Route(
    String name,
    String tenant,
    Tier tier,
    String host,
    String pathPrefix,
    String pool,
    Optional<String> secret,
    Set<String> repeatableMethods,
    long timeoutMillis)
    implements Resource {
  /** Matches any host. */
  public static final String ANY_HOST = "*";

  /** Copies the method set in sorted order, so that equal routes encode equally. */
  public Route {
    repeatableMethods = Collections.unmodifiableSet(new TreeSet<>(repeatableMethods));
  }

  @Override
  @JsonIgnore
  public ResourceKey key() {
    return new ResourceKey(ResourceKind.ROUTE, name);
  }
}
