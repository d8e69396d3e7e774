package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.load.BackendNotice;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The notices that this node knows: of the local backend, and of backends whose responses it has
 * forwarded. It keeps the latter because the node beside a backend may restart while the backend
 * continues to run. Bounded; thread-safe.
 */
final class BackendNotices {
  /** More than the backends of a fleet that are limited or leaving at the same time. */
  private static final int MAX_BACKENDS = 1_024;

  /** A notice and the start of the backend that it belongs to. */
  private record StartNotice(BackendStart start, BackendNotice notice) {}

  private final Map<String, StartNotice> byId =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, StartNotice> eldest) {
          return size() > MAX_BACKENDS;
        }
      };

  /** Set before the first notice is visible, so that the request path can skip the lock. */
  private volatile boolean hasAny;

  /** Whether no backend has announced anything since the start of this process. */
  boolean isEmpty() {
    return !hasAny;
  }

  /** Returns the notice of a backend start; {@link BackendNotice#NONE} if there is none. */
  BackendNotice find(BackendStart start) {
    if (!hasAny) {
      return BackendNotice.NONE;
    }
    synchronized (this) {
      StartNotice held = byId.get(start.id());
      return held == null || held.start().isDifferentFrom(start)
          ? BackendNotice.NONE
          : held.notice();
    }
  }

  /** Returns the notice of a backend, whatever its start, as it is sent to other nodes. */
  Optional<NoticeHeader> findLatest(String id) {
    if (!hasAny) {
      return Optional.empty();
    }
    synchronized (this) {
      return Optional.ofNullable(byId.get(id))
          .map(held -> new NoticeHeader(held.start().startTimeMillis(), held.notice(), 0));
    }
  }

  /** Whether a backend start has announced its end. */
  boolean isLeaving(BackendStart start) {
    return find(start).isLeaving();
  }

  /** Replaces the notice of a backend start by a newer one. */
  void put(BackendStart start, BackendNotice notice) {
    hasAny = true;
    synchronized (this) {
      byId.remove(start.id());
      byId.put(start.id(), new StartNotice(start, notice));
    }
  }

  /**
   * Merges a notice reported by the node beside the backend. A notice of an earlier start than the
   * known one is ignored.
   */
  synchronized void merge(BackendStart start, BackendNotice notice) {
    StartNotice held = byId.get(start.id());
    if (held == null) {
      put(start, notice);
    } else if (!held.start().isDifferentFrom(start)) {
      BackendStart known =
          start.startTimeMillis() == BackendStart.UNKNOWN_START_TIME_MILLIS ? held.start() : start;
      put(known, held.notice().merge(notice));
    } else if (start.startTimeMillis() > held.start().startTimeMillis()) {
      put(start, notice);
    }
  }
}
