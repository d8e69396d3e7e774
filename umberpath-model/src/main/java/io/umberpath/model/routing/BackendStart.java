package io.umberpath.model.routing;

import java.util.Objects;

/**
 * One start of a backend. Statistics of an earlier start with the same id do not apply to it.
 *
 * @param id id of the backend
 * @param startTimeMillis start time, Unix time in milliseconds on its own clock; 0 if not stated
 */
public record BackendStart(String id, long startTimeMillis) {
  /** Start time of a backend that does not state one; such starts are not distinguished. */
  public static final long UNKNOWN_START_TIME_MILLIS = 0;

  /** Whether this is known to be another start than the given one of the same backend id. */
  public boolean isDifferentFrom(BackendStart other) {
    return areDifferentStarts(startTimeMillis, other.startTimeMillis);
  }

  /** Whether both start times of a backend are known and differ. */
  public static boolean areDifferentStarts(long startTimeMillis, long otherStartTimeMillis) {
    return startTimeMillis != UNKNOWN_START_TIME_MILLIS
        && otherStartTimeMillis != UNKNOWN_START_TIME_MILLIS
        && startTimeMillis != otherStartTimeMillis;
  }

  // Implemented explicitly, as it is a map key for each request and during startup; see
  // PeerAddress.
  @Override
  public boolean equals(Object other) {
    return other instanceof BackendStart start
        && startTimeMillis == start.startTimeMillis
        && Objects.equals(id, start.id);
  }

  @Override
  public int hashCode() {
    return 31 * Objects.hashCode(id) + Long.hashCode(startTimeMillis);
  }
}
