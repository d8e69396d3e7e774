package io.umberpath.model.routing;

import io.umberpath.model.PeerAddress;

/**
 * What a back end's own entry in the store says.
 *
 * @param id names this start of the back end; a new start has a new id
 * @param service its service
 * @param address where it listens
 * @param zone where it stands
 * @param slots requests it works on at once, at least 1
 * @param state whether it takes new work
 * @param warmupMillis how much longer it was slow when it wrote the entry, milliseconds
 */
public record BackendEntry(
    String id,
    String service,
    PeerAddress address,
    String zone,
    int slots,
    State state,
    long warmupMillis) {
  /** Whether a back end takes new work. */
  public enum State {
    /** Takes new work. */
    READY,
    /** Finishes what it has and leaves. */
    DRAINING
  }
}
