package io.umberpath.node.mesh;

import java.util.Optional;

/**
 * What a node tells the node beside the chosen back end about a request, in one header.
 *
 * @param instance the chosen back end
 * @param route name of its route
 * @param priority rank of its route, 0 is highest
 * @param toleratedWaitMillis expected wait beyond which to refuse rather than queue, milliseconds
 */
record HopLine(String instance, String route, int priority, long toleratedWaitMillis) {
  static final String HEADER = "Umberpath-Hop";
  private static final int FIELDS = 4;

  String encode() {
    return instance + "," + route + "," + priority + "," + toleratedWaitMillis;
  }

  static Optional<HopLine> decode(String text) {
    String[] fields = text == null ? new String[0] : text.split(",", FIELDS + 1);
    if (fields.length != FIELDS || fields[0].isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new HopLine(
              fields[0], fields[1], Integer.parseInt(fields[2]), Long.parseLong(fields[3])));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
