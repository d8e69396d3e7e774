package io.umberpath.model;

import java.util.Comparator;
import java.util.Locale;

/**
 * The identity of a resource; names are unique per kind across the fleet.
 *
 * @param kind what the resource is
 * @param name lower-case name, see {@link ResourceValidator}
 */
public record ResourceKey(ResourceKind kind, String name) implements Comparable<ResourceKey> {
  private static final Comparator<ResourceKey> ORDER =
      Comparator.comparing(ResourceKey::kind).thenComparing(ResourceKey::name);

  @Override
  public int compareTo(ResourceKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind.name().toLowerCase(Locale.ROOT) + "/" + name;
  }
}
