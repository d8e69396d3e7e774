package io.umberpath.node.mesh;

import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.traffic.load.BackendNotice;
import io.vavr.control.Either;
import java.util.Optional;

/** Reads what the local backend announces in the head of a response. Thread-safe. */
final class NoticeParser {
  /**
   * What one response announces.
   *
   * @param requestsPerSecond the limit, {@link BackendNotice#UNLIMITED} if the response has none;
   *     empty if the header cannot be parsed, so that the earlier limit stays in force
   * @param isLeaving whether the backend announces its end
   */
  record Announcement(Optional<Double> requestsPerSecond, boolean isLeaving) {
    private static final Announcement NONE =
        new Announcement(Optional.of(BackendNotice.UNLIMITED), false);

    /** Whether the response has a valid limit. */
    boolean isLimited() {
      return requestsPerSecond.filter(limit -> limit != BackendNotice.UNLIMITED).isPresent();
    }
  }

  private final HeaderNames names;
  private final StoreItemParser parser;
  private final MeshEvents events;

  NoticeParser(HeaderNames names, StoreItemParser parser, MeshEvents events) {
    this.names = names;
    this.parser = parser;
    this.events = events;
  }

  Announcement parse(ResponseHead head) {
    Optional<String> limit = head.fields().joined(names.requestLimit());
    Optional<String> leaving = head.fields().joined(names.leaving());
    if (limit.isEmpty() && leaving.isEmpty()) {
      return Announcement.NONE;
    }
    return new Announcement(
        limit.isEmpty()
            ? Optional.of(BackendNotice.UNLIMITED)
            : valid(parser.parseRequestLimit(limit.get())),
        leaving.flatMap(text -> valid(parser.parseLeaving(text))).orElse(false));
  }

  private <T> Optional<T> valid(Either<String, T> parsed) {
    parsed.peekLeft(events::statementRefused);
    return parsed.toJavaOptional();
  }
}
