package io.umberpath.traffic.routing;

/**
 * What the node beside a back end states of it.
 *
 * @param running requests that hold a slot
 * @param queued requests that wait at that node
 * @param slots requests that run at a time
 * @param serviceMicros mean time that a request holds a slot, microseconds; 0 if not known
 */
public record GateLoad(int running, int queued, int slots, long serviceMicros) {
  private static final int FIELDS = 4;

  /** Text form for a header: four numbers joined by commas. */
  public String encode() {
    return running + "," + queued + "," + slots + "," + serviceMicros;
  }

  /** Reads the text form; null if it is not one. */
  public static GateLoad decode(String text) {
    String[] fields = text.split(",", FIELDS + 1);
    if (fields.length != FIELDS) {
      return null;
    }
    try {
      return new GateLoad(
          Integer.parseInt(fields[0]),
          Integer.parseInt(fields[1]),
          Math.max(1, Integer.parseInt(fields[2])),
          Long.parseLong(fields[3]));
    } catch (NumberFormatException malformed) {
      return null;
    }
  }
}
