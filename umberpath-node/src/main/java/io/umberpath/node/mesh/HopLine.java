package io.umberpath.node.mesh;

import java.util.Optional;

/**
 * What a node tells the node beside the chosen back end about a request, in one header.
 *
 * @param instance the chosen back end
 * @param priority rank of its route, 0 is highest
 * @param mayBounce whether to refuse rather than queue, for another back end may be free
 */
record HopLine(String instance, int priority, boolean mayBounce) {
  static final String HEADER = "Umberpath-Hop";
  private static final int FIELDS = 3;

  String encode() {
    return instance + "," + priority + "," + (mayBounce ? 1 : 0);
  }

  static Optional<HopLine> decode(String text) {
    String[] fields = text == null ? new String[0] : text.split(",", FIELDS + 1);
    if (fields.length != FIELDS || fields[0].isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new HopLine(fields[0], Integer.parseInt(fields[1]), fields[2].equals("1")));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
