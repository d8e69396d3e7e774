package io.umberpath.model.routing;

import io.umberpath.model.PeerAddress;

/**
 * A backend's own entry in the store.
 *
 * @param id id of the backend; may be reused after a restart, see {@link #start}
 * @param service its service
 * @param address where it listens
 * @param zone its zone
 * @param slots requests that it processes concurrently, at least 1
 * @param state whether it accepts new work
 * @param warmupMillis remaining warm-up when it wrote the entry, milliseconds
 * @param startTimeMillis start time, Unix time in milliseconds; {@link
 *     BackendStart#UNKNOWN_START_TIME_MILLIS} if not stated
 */
public record BackendEntry(
    String id,
    String service,
    PeerAddress address,
    String zone,
    int slots,
    State state,
    long warmupMillis,
    long startTimeMillis) {
  /** Creates an entry without a start time. */
  public BackendEntry(
      String id,
      String service,
      PeerAddress address,
      String zone,
      int slots,
      State state,
      long warmupMillis) {
    this(
        id,
        service,
        address,
        zone,
        slots,
        state,
        warmupMillis,
        BackendStart.UNKNOWN_START_TIME_MILLIS);
  }

  /** Start of the backend that wrote the entry. */
  public BackendStart start() {
    return new BackendStart(id, startTimeMillis);
  }

  /** Returns a copy that is draining. */
  public BackendEntry asDraining() {
    return new BackendEntry(
        id, service, address, zone, slots, State.DRAINING, warmupMillis, startTimeMillis);
  }

  /** Whether a backend accepts new work. */
  public enum State {
    /** Accepts new work. */
    READY,
    /** Finishes what it has and stops. */
    DRAINING
  }
}
