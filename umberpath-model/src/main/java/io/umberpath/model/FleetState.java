package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;

/**
 * The value of the replicated register: the whole agreed state of the fleet. Persistent collections
 * let a new state share everything that did not change.
 *
 * @param version position of this state
 * @param resources routes, pools and secrets by key
 * @param drained ids of backends drained by an operator
 * @param roster acceptors of this state
 * @param previousRoster acceptors of the state before, while a roster change is not known to be
 *     committed; equal to {@code roster} otherwise
 * @param nextSlot slot of the next new member
 * @param answered results of recent operator changes by tenant and request id, oldest first
 * @param contentHash hash over the content, see {@link StateHasher}
 */
public record FleetState(
    Version version,
    TreeMap<ResourceKey, Resource> resources,
    TreeSet<String> drained,
    Roster roster,
    Roster previousRoster,
    int nextSlot,
    LinkedHashMap<String, AnsweredChange> answered,
    long contentHash) {
  /** The initial state of a fleet that has not agreed on anything. */
  public static final FleetState EMPTY =
      new FleetState(
          Version.NONE,
          TreeMap.empty(),
          TreeSet.empty(),
          Roster.EMPTY,
          Roster.EMPTY,
          0,
          LinkedHashMap.empty(),
          0L);

  /** Whether this state has a roster change that is not known to be committed. */
  @JsonIgnore
  public boolean changesRoster() {
    return !roster.equals(previousRoster);
  }

  /**
   * An accepted change, kept so that a retry gets the same result.
   *
   * @param changeHash fingerprint of the change set, to distinguish a retry from a reuse of the id
   * @param version the first version that contains it
   */
  public record AnsweredChange(long changeHash, Version version) {}
}
