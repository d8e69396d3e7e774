package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;

/**
 * The value of the register: the fleet's whole agreed state. Persistent collections make a new
 * state share everything that did not change.
 *
 * @param version position of this state
 * @param resources routes, pools and secrets by key
 * @param drained back-end ids an operator drains
 * @param roster acceptors of this state
 * @param previousRoster acceptors of the state before, while a roster change is not known to be
 *     committed; equal to {@code roster} otherwise
 * @param nextSlot the slot the next new member gets
 * @param answered outcomes of recent operator changes by tenant and request id, oldest first
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
  /** The state of a fleet that has agreed on nothing. */
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

  /** Whether the roster of this state differs from the one before it. */
  @JsonIgnore
  public boolean changesRoster() {
    return !roster.equals(previousRoster);
  }

  /**
   * A change that was accepted, so that a repeat is answered like the first.
   *
   * @param changeHash fingerprint of the change set, to tell a repeat from a reuse of the id
   * @param version the version that first contained it
   */
  public record AnsweredChange(long changeHash, Version version) {}
}
