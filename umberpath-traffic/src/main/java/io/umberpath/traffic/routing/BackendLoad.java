package io.umberpath.traffic.routing;

/**
 * Load of a backend as reported by the node beside it.
 *
 * @param running requests that hold a slot
 * @param queued requests that wait at that node; more if a rate limit delays the next start
 * @param slots requests that run concurrently
 * @param serviceMicros mean time that a request holds a slot, microseconds; 0 if not known
 * @param slownessPercent current response time relative to the usual one, percent; 100 as usual,
 *     less if faster
 * @param routeMicros mean response time of the route that a response belongs to, microseconds; 0 if
 *     not known or not sent with a response
 * @param startTimeMillis start time of the backend, as {@link
 *     io.umberpath.model.routing.BackendEntry#startTimeMillis}; 0 if not known
 * @param failurePercent share of its recent responses that failed, percent
 * @param uploads load of the link over which it receives long request bodies
 */
public record BackendLoad(
    int running,
    int queued,
    int slots,
    long serviceMicros,
    int slownessPercent,
    long routeMicros,
    long startTimeMillis,
    int failurePercent,
    UploadLoad uploads) {
  /** Slowdown of a backend at its usual speed. */
  public static final int USUAL_PERCENT = 100;

  private static final int MIN_PERCENT = 10;
  private static final int MAX_PERCENT = 2_000;
  private static final int FIELD_COUNT = 10;

  /** Fields of a report without the load of uploads. */
  private static final int MIN_FIELD_COUNT = 8;

  /** Creates a report without a start time, failures and uploads. */
  public BackendLoad(
      int running,
      int queued,
      int slots,
      long serviceMicros,
      int slownessPercent,
      long routeMicros) {
    this(running, queued, slots, serviceMicros, slownessPercent, routeMicros, 0);
  }

  /** Creates a report without failures and uploads. */
  public BackendLoad(
      int running,
      int queued,
      int slots,
      long serviceMicros,
      int slownessPercent,
      long routeMicros,
      long startTimeMillis) {
    this(
        running,
        queued,
        slots,
        serviceMicros,
        slownessPercent,
        routeMicros,
        startTimeMillis,
        0,
        UploadLoad.NONE);
  }

  /** Expected wait of a further request for a slot, microseconds. */
  public long slotWaitMicros() {
    int ahead = Math.max(0, running + queued + 1 - slots);
    return ahead * serviceMicros / slots;
  }

  /** Returns a copy with that load of uploads. */
  public BackendLoad withUploads(UploadLoad newUploads) {
    return new BackendLoad(
        running,
        queued,
        slots,
        serviceMicros,
        slownessPercent,
        routeMicros,
        startTimeMillis,
        failurePercent,
        newUploads);
  }

  /** Returns a copy with that share of failed responses. */
  public BackendLoad withFailures(int percent) {
    return new BackendLoad(
        running,
        queued,
        slots,
        serviceMicros,
        slownessPercent,
        routeMicros,
        startTimeMillis,
        percent,
        uploads);
  }

  /** Returns a copy with another number of queued requests. */
  public BackendLoad withQueued(int newQueued) {
    return new BackendLoad(
        running,
        newQueued,
        slots,
        serviceMicros,
        slownessPercent,
        routeMicros,
        startTimeMillis,
        failurePercent,
        uploads);
  }

  /** Clamps a slowdown that another node reports, to limit the effect of a faulty report. */
  public static int clampSlowness(int percent) {
    return Math.min(MAX_PERCENT, Math.max(MIN_PERCENT, percent));
  }

  /** Returns a copy with the response time of a route. */
  public BackendLoad withRoute(long newRouteMicros) {
    return new BackendLoad(
        running,
        queued,
        slots,
        serviceMicros,
        slownessPercent,
        newRouteMicros,
        startTimeMillis,
        failurePercent,
        uploads);
  }

  /** Encodes the report for a header: numbers joined by commas. */
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
        + startTimeMillis
        + ","
        + failurePercent
        + (uploads.isKnown() ? "," + uploads.outstanding() + "," + uploads.bodyMicros() : "");
  }

  /**
   * Decodes the text form; null if it is malformed. A node that has received no long bodies, or is
   * of an earlier version, leaves the load of uploads out.
   */
  public static BackendLoad decode(String text) {
    String[] fields = text.split(",", FIELD_COUNT + 1);
    if (fields.length != FIELD_COUNT && fields.length != MIN_FIELD_COUNT) {
      return null;
    }
    try {
      return new BackendLoad(
          Integer.parseInt(fields[0]),
          Integer.parseInt(fields[1]),
          Math.max(1, Integer.parseInt(fields[2])),
          Long.parseLong(fields[3]),
          clampSlowness(Integer.parseInt(fields[4])),
          Long.parseLong(fields[5]),
          Long.parseLong(fields[6]),
          clampPercent(Long.parseLong(fields[7])),
          fields.length == MIN_FIELD_COUNT
              ? UploadLoad.NONE
              : new UploadLoad(Integer.parseInt(fields[8]), Long.parseLong(fields[9])));
    } catch (NumberFormatException malformed) {
      return null;
    }
  }

  /** Clamps a received percentage to 0 to 100. */
  public static int clampPercent(long value) {
    return (int) Math.max(0, Math.min(USUAL_PERCENT, value));
  }
}
