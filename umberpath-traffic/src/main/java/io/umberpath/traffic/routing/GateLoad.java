package io.umberpath.traffic.routing;

/**
 * What the node beside a back end states of it.
 *
 * @param running requests that hold a slot
 * @param queued requests that wait at that node
 * @param slots requests that run at a time
 * @param serviceMicros mean time that a request holds a slot, microseconds; 0 if not known
 * @param slownessPercent how long work takes there right now against its usual time, percent; 100
 *     as usual, less if it is faster
 * @param routeMicros the mean of the route that an answer belongs to, microseconds; 0 if not known
 *     or not with an answer
 * @param bornMillis which start of the back end this is of, as {@link
 *     io.umberpath.model.routing.BackendEntry#bornMillis}; 0 if it is not told from others
 * @param failurePercent share of its answers that failed lately, percent
 */
public record GateLoad(
    int running,
    int queued,
    int slots,
    long serviceMicros,
    int slownessPercent,
    long routeMicros,
    long bornMillis,
    int failurePercent) {
  /** Slowness of a back end that is as fast as usual. */
  public static final int USUAL_PERCENT = 100;

  private static final int MIN_PERCENT = 10;
  private static final int MAX_PERCENT = 2_000;
  private static final int FIELD_COUNT = 8;

  /** A statement of a start that is not told from others, and where nothing waits. */
  public GateLoad(
      int running,
      int queued,
      int slots,
      long serviceMicros,
      int slownessPercent,
      long routeMicros) {
    this(running, queued, slots, serviceMicros, slownessPercent, routeMicros, 0);
  }

  /** A statement of a back end whose answers do not fail. */
  public GateLoad(
      int running,
      int queued,
      int slots,
      long serviceMicros,
      int slownessPercent,
      long routeMicros,
      long bornMillis) {
    this(running, queued, slots, serviceMicros, slownessPercent, routeMicros, bornMillis, 0);
  }

  /** The same of a back end of whose answers such a share fails. */
  public GateLoad withFailures(int percent) {
    return new GateLoad(
        running, queued, slots, serviceMicros, slownessPercent, routeMicros, bornMillis, percent);
  }

  /** Slowness as another node may state it, within bounds: a fault there does little harm here. */
  public static int boundedSlowness(int percent) {
    return Math.min(MAX_PERCENT, Math.max(MIN_PERCENT, percent));
  }

  /** The same with an answer of a route. */
  public GateLoad withRoute(long newRouteMicros) {
    return new GateLoad(
        running,
        queued,
        slots,
        serviceMicros,
        slownessPercent,
        newRouteMicros,
        bornMillis,
        failurePercent);
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
        + routeMicros
        + ","
        + bornMillis
        + ","
        + failurePercent;
  }

  /** Reads the text form; null if it is not one. */
  public static GateLoad decode(String text) {
    String[] fields = text.split(",", FIELD_COUNT + 1);
    if (fields.length != FIELD_COUNT) {
      return null;
    }
    try {
      return new GateLoad(
          Integer.parseInt(fields[0]),
          Integer.parseInt(fields[1]),
          Math.max(1, Integer.parseInt(fields[2])),
          Long.parseLong(fields[3]),
          boundedSlowness(Integer.parseInt(fields[4])),
          Long.parseLong(fields[5]),
          Long.parseLong(fields[6]),
          percent(Long.parseLong(fields[7])));
    } catch (NumberFormatException malformed) {
      return null;
    }
  }

  /** A share that a text or a report states, kept within its bounds. */
  public static int percent(long stated) {
    return (int) Math.max(0, Math.min(USUAL_PERCENT, stated));
  }
}
