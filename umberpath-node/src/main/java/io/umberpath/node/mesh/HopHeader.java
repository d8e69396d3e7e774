package io.umberpath.node.mesh;

import java.util.Optional;

/**
 * Header with which a node passes routing and timing data of a request to the node of the chosen
 * backend. All times are relative to the time of sending, in milliseconds.
 *
 * @param instance id of the chosen backend
 * @param route name of the request's route
 * @param dueInMillis time until the request is due; the queue is ordered by due time, earliest
 *     first
 * @param toleratedWaitMillis expected queueing time above which the request is to be refused, not
 *     queued
 * @param targetInMillis time until the backend has to be done for the response to be in time
 * @param refuseWithinMillis time within which a refusal still lets the client retry in time
 * @param startWithinMillis time after which the request is refused if it has not started
 * @param isRetry whether the request may have run on another backend before
 */
record HopHeader(
    String instance,
    String route,
    long dueInMillis,
    long toleratedWaitMillis,
    long targetInMillis,
    long refuseWithinMillis,
    long startWithinMillis,
    boolean isRetry) {
  static final String HEADER = "Umberpath-Hop";
  private static final int FIELD_COUNT = 8;
  private static final int FIRST_TIME_INDEX = 2;
  private static final int TIME_COUNT = 5;
  private static final String RETRY = "1";
  private static final String FIRST_ATTEMPT = "0";

  String encode() {
    return String.join(
        ",",
        instance,
        route,
        Long.toString(dueInMillis),
        Long.toString(toleratedWaitMillis),
        Long.toString(targetInMillis),
        Long.toString(refuseWithinMillis),
        Long.toString(startWithinMillis),
        isRetry ? RETRY : FIRST_ATTEMPT);
  }

  static Optional<HopHeader> decode(String text) {
    String[] fields = text == null ? new String[0] : text.split(",", FIELD_COUNT + 1);
    if (fields.length != FIELD_COUNT || fields[0].isEmpty()) {
      return Optional.empty();
    }
    try {
      long[] times = new long[TIME_COUNT];
      for (int index = 0; index < times.length; index++) {
        times[index] = Long.parseLong(fields[FIRST_TIME_INDEX + index]);
      }
      return Optional.of(
          new HopHeader(
              fields[0],
              fields[1],
              times[0],
              times[1],
              times[2],
              times[3],
              times[4],
              fields[FIELD_COUNT - 1].equals(RETRY)));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
