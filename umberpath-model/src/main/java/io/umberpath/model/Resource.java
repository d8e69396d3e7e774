package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A resource created by an operator, owned by one tenant and tagged with the tier it pays for. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Route.class, name = "r"),
  @JsonSubTypes.Type(value = Pool.class, name = "p"),
  @JsonSubTypes.Type(value = Secret.class, name = "s")
})
public sealed interface Resource permits Route, Pool, Secret {
  /** Unique name within its kind. */
  String name();

  /** The tenant that owns it. */
  String tenant();

  /** The tier it was created with. */
  Tier tier();

  /** Key that identifies it in the fleet. */
  @JsonIgnore
  ResourceKey key();
}
