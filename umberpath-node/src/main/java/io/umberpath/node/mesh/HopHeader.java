package io.umberpath.node.mesh;

import java.util.Optional;

/**
 * What a node tells the node beside the chosen back end about a request, in one header.
 *
 * @param instance the chosen back end
 * @param route name of its route
 * @param dueInMillis in how long it is due, milliseconds; what is due earlier goes first
 * @param toleratedWaitMillis expected wait beyond which to refuse rather than queue, milliseconds
 * @param targetInMillis in how long its work has to be done for its answer to be in time,
 *     milliseconds
 * @param refuseWithinMillis until when a refusal lets its caller come back in time, milliseconds
 *     from now
 * @param startWithinMillis in how long it is to be refused if it has not begun, milliseconds
 * @param isRetry whether it may have run at another back end before
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
