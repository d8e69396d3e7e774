package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A named group of backends: all backends of one service in the platform document.
 *
 * @param name unique pool name
 * @param tenant owner
 * @param tier priority tier
 * @param service the platform service whose backends the pool uses
 * @param slotsPerBackend requests that one backend runs concurrently
 * @param connectionsPerBackend connections that one backend accepts in total
 */
public record Pool(
    String name,
    String tenant,
    Tier tier,
    String service,
    int slotsPerBackend,
    int connectionsPerBackend)
    implements Resource {
  @Override
  @JsonIgnore
  public ResourceKey key() {
    return new ResourceKey(ResourceKind.POOL, name);
  }
}
