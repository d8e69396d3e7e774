package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.node.mesh.NoticeParser.Announcement;
import io.umberpath.traffic.RequestRateLimiter;
import io.umberpath.traffic.load.BackendNotice;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The notice of the local backend, and the rate limit that it sets. This process has the newest
 * notice as soon as it has read one response of the backend. Before that, it applies what other
 * nodes remember from responses that an earlier process beside the backend has forwarded.
 * Thread-safe.
 */
final class LocalBackendNotices {
  /** Source of a notice in logs: a response of the backend. */
  private static final String BACKEND = "backend";

  /** Source of a notice in logs: the memory of another node. */
  private static final String PEER = "peer";

  private final BackendNotices notices;
  private final RequestRateLimiter rateLimiter = new RequestRateLimiter();
  private final MeshEvents events;
  private final LongSupplier clockMillis;

  /** The start to which the limit applies; null before any is known. */
  private BackendStart current;

  /** Whether this process has read a response of the current start. */
  private boolean hasReadResponse;

  /** When a response with a limit was last read. */
  private long limitReadMillis = Long.MIN_VALUE;

  /**
   * Creates the state of a backend without a notice.
   *
   * @param notices the notices of all backends known to this node; updated with the local one
   */
  LocalBackendNotices(BackendNotices notices, MeshEvents events, LongSupplier clockMillis) {
    this.notices = notices;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /** Limits the requests to the local backend to the announced rate. */
  RequestRateLimiter rateLimiter() {
    return rateLimiter;
  }

  /**
   * Records what a response announces.
   *
   * @param start the start that responded
   * @param sentMillis when the request was sent to the backend
   */
  synchronized void recordResponse(BackendStart start, Announcement announced, long sentMillis) {
    selectStart(start);
    BackendNotice before = notices.find(start);
    double limit = announced.requestsPerSecond().orElse(before.requestsPerSecond());
    boolean mayBeOutdated = sentMillis <= limitReadMillis;
    if (mayBeOutdated && limit > before.requestsPerSecond()) {
      // Responses overtake each other: this one may have been written before the limit in force.
      limit = before.requestsPerSecond();
    }
    if (announced.isLimited()) {
      limitReadMillis = clockMillis.getAsLong();
    }
    hasReadResponse = true;
    boolean isLeaving = before.isLeaving() || announced.isLeaving();
    BackendNotice now = new BackendNotice(before.order() + 1, limit, isLeaving);
    if (!now.announcesSame(before)) {
      apply(start, now, BACKEND);
    }
  }

  /**
   * Records the notice that another node remembers of a start of the local backend. It takes effect
   * unless this process has read a response of that start itself.
   */
  synchronized void recordRemembered(BackendStart start, NoticeHeader remembered) {
    BackendStart rememberedStart = new BackendStart(start.id(), remembered.startTimeMillis());
    BackendNotice before = notices.find(start);
    BackendNotice notice = remembered.notice();
    boolean isKnown = notice.order() < before.order() || notice.equals(before);
    if (isKnown || start.isDifferentFrom(rememberedStart)) {
      return;
    }
    if (hasReadResponse && start.equals(current)) {
      // It is from an earlier process, whose order may have been ahead of that of this one.
      boolean isLeaving = before.isLeaving() || notice.isLeaving();
      long order = notice.order() + 1;
      apply(start, new BackendNotice(order, before.requestsPerSecond(), isLeaving), PEER);
    } else {
      selectStart(start);
      apply(start, before.merge(notice), PEER);
    }
  }

  /** Removes the limit if it belongs to a start that has ended. */
  synchronized void startEnded(BackendStart ended) {
    boolean isCurrent =
        current != null && current.id().equals(ended.id()) && !current.isDifferentFrom(ended);
    if (isCurrent) {
      selectStart(null);
    }
  }

  /** Returns the notice of a start to send to other nodes; empty if it has announced nothing. */
  synchronized Optional<NoticeHeader> headerFor(BackendStart start) {
    BackendNotice notice = notices.find(start);
    if (notice.order() == 0) {
      return Optional.empty();
    }
    long waitMillis = Math.round(rateLimiter.waitMillis(clockMillis.getAsLong(), 0));
    return Optional.of(new NoticeHeader(start.startTimeMillis(), notice, waitMillis));
  }

  /** Returns whether no backend has announced anything, the usual case on the request path. */
  boolean isEmpty() {
    return notices.isEmpty();
  }

  /** Returns whether a start has announced its end. */
  boolean isLeaving(BackendStart start) {
    return notices.isLeaving(start);
  }

  private void selectStart(BackendStart start) {
    if (start != null && start.equals(current)) {
      return;
    }
    current = start;
    hasReadResponse = false;
    limitReadMillis = Long.MIN_VALUE;
    setRate(start == null ? BackendNotice.UNLIMITED : notices.find(start).requestsPerSecond());
  }

  private void apply(BackendStart start, BackendNotice notice, String source) {
    BackendNotice before = notices.find(start);
    notices.put(start, notice);
    if (!notice.announcesSame(before)) {
      setRate(notice.requestsPerSecond());
      events.backendNotice(start, notice, source);
    }
  }

  private void setRate(double perSecond) {
    rateLimiter.setRate(clockMillis.getAsLong(), perSecond);
  }
}
