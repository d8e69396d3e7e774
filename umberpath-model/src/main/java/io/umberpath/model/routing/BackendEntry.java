package io.umberpath.model.routing;

import io.umberpath.model.PeerAddress;

/**
 * What a back end's own entry in the store says.
 *
 * @param id names the back end; one that starts again may keep it, see {@link #start}
 * @param service its service
 * @param address where it listens
 * @param zone where it stands
 * @param slots requests it works on at once, at least 1
 * @param state whether it takes new work
 * @param warmupMillis how much longer it was slow when it wrote the entry, milliseconds
 * @param bornMillis when it started, Unix time in milliseconds; {@link
 *     BackendStart#UNKNOWN_BORN_MILLIS} if it does not say
 */
public record BackendEntry(
    String id,
    String service,
    PeerAddress address,
    String zone,
    int slots,
    State state,
    long warmupMillis,
    long bornMillis) {
  /** An entry that does not say when its back end started. */
  public BackendEntry(
      String id,
      String service,
      PeerAddress address,
      String zone,
      int slots,
      State state,
      long warmupMillis) {
    this(id, service, address, zone, slots, state, warmupMillis, BackendStart.UNKNOWN_BORN_MILLIS);
  }

  /** The start of the back end that wrote the entry. */
  public BackendStart start() {
    return new BackendStart(id, bornMillis);
  }

  /** The same of a back end that leaves. */
  public BackendEntry leaving() {
    return new BackendEntry(
        id, service, address, zone, slots, State.DRAINING, warmupMillis, bornMillis);
  }

  /** Whether a back end takes new work. */
  public enum State {
    /** Takes new work. */
    READY,
    /** Finishes what it has and leaves. */
    DRAINING
  }
}
