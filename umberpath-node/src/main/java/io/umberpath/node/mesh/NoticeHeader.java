package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.load.BackendNotice;
import java.util.Optional;

/**
 * Header by which nodes exchange the notice of a backend: in a response from the node beside the
 * backend, and in a request to that node, which may have restarted since. Messages about backends
 * without notices lack it.
 *
 * @param startTimeMillis start time of the backend; {@link BackendStart#UNKNOWN_START_TIME_MILLIS}
 *     if not known
 * @param notice the notice
 * @param startWaitMillis in a response: time until the limit allows another request to start
 */
record NoticeHeader(long startTimeMillis, BackendNotice notice, long startWaitMillis) {
  static final String HEADER = "Umberpath-Backend-Notice";

  private static final int FIELD_COUNT = 5;
  private static final String NO_LIMIT = "-";
  private static final String TRUE = "1";
  private static final String FALSE = "0";

  String encode() {
    return String.join(
        ",",
        Long.toString(startTimeMillis),
        Long.toString(notice.order()),
        notice.isLimited() ? Double.toString(notice.requestsPerSecond()) : NO_LIMIT,
        notice.isLeaving() ? TRUE : FALSE,
        Long.toString(startWaitMillis));
  }

  /** Decodes the header; empty if it is malformed. */
  static Optional<NoticeHeader> decode(String text) {
    String[] fields = text.split(",", FIELD_COUNT + 1);
    if (fields.length != FIELD_COUNT) {
      return Optional.empty();
    }
    try {
      double limit =
          fields[2].equals(NO_LIMIT) ? BackendNotice.UNLIMITED : Double.parseDouble(fields[2]);
      if (!(limit >= 0)) {
        return Optional.empty();
      }
      BackendNotice notice =
          new BackendNotice(Long.parseLong(fields[1]), limit, fields[3].equals(TRUE));
      return Optional.of(
          new NoticeHeader(Long.parseLong(fields[0]), notice, Long.parseLong(fields[4])));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
