package io.umberpath.traffic.routing;

/**
 * What the node beside a back end states of it.
 *
 * @param running requests that hold a slot
 * @param queued requests that wait at that node
 * @param slots requests that run at a time
 * @param serviceMicros mean time that a request holds a slot, microseconds; 0 if not known
 * @param slownessPercent how much slower than that it is right now, percent; 100 if it is not
 * @param routeMicros the mean of the route that an answer belongs to, microseconds; 0 if not known
 *     or not with an answer
 */
public record GateLoad(
    int running, int queued, int slots, long serviceMicros, int slownessPercent, long routeMicros) {
  /** Slowness of a back end that is as fast as usual. */
  public static final int USUAL_PERCENT = 100;

  private static final int FIELDS = 6;

  /** The same with an answer of a route. */
  public GateLoad withRoute(long micros) {
    return new GateLoad(running, queued, slots, serviceMicros, slownessPercent, micros);
  }

  /** Text form for a header: numbers joined by commas. */
  public String encode() {
    return running
        + ","
        + queued
        + ","
        + slots
        + ","
        + serviceMicros
        + ","
        + slownessPercent
        + ","
        + routeMicros;
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
          Long.parseLong(fields[3]),
          Math.max(USUAL_PERCENT, Integer.parseInt(fields[4])),
          Long.parseLong(fields[5]));
    } catch (NumberFormatException malformed) {
      return null;
    }
  }
}
