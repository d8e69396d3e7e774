package io.umberpath.node.mesh;

import java.util.Optional;

/**
 * What a node tells the node beside the chosen back end about a request, in one header.
 *
 * @param instance the chosen back end
 * @param route name of its route
 * @param dueMillis in how long it is due, milliseconds; what is due earlier goes first
 * @param toleratedWaitMillis expected wait beyond which to refuse rather than queue, milliseconds
 */
record HopLine(String instance, String route, long dueMillis, long toleratedWaitMillis) {
  static final String HEADER = "Umberpath-Hop";
  private static final int FIELDS = 4;

  String encode() {
    return instance + "," + route + "," + dueMillis + "," + toleratedWaitMillis;
  }

  static Optional<HopLine> decode(String text) {
    String[] fields = text == null ? new String[0] : text.split(",", FIELDS + 1);
    if (fields.length != FIELDS || fields[0].isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new HopLine(fields[0], fields[1], Long.parseLong(fields[2]), Long.parseLong(fields[3])));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
