package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A named group of back ends: all back ends of one service of the platform's document.
 *
 * @param name unique pool name
 * @param tenant owner
 * @param tier priority tier
 * @param service the platform service whose back ends the pool uses
 * @param slotsPerBackend requests one back end runs at a time
 * @param connectionsPerBackend connections one back end accepts in all
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
