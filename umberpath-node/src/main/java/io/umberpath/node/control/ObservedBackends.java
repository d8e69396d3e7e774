package io.umberpath.node.control;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PlatformDocument;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * The newest statement about each back end. Written by the control thread, read by any. Back ends
 * that the platform no longer names are forgotten once there are many of them.
 */
final class ObservedBackends {
  private static final int UNNAMED_KEPT = 1_000;

  private final ConcurrentHashMap<String, ObservedBackend> byId = new ConcurrentHashMap<>();
  private final Map<String, ObservedBackend> view = Collections.unmodifiableMap(byId);

  /** A live view by back-end id. */
  Map<String, ObservedBackend> view() {
    return view;
  }

  /** Takes newer statements. */
  void update(List<ObservedBackend> backends, PlatformDocument document) {
    for (ObservedBackend backend : backends) {
      byId.merge(
          backend.backendId(),
          backend,
          (former, latter) -> latter.supersedes(former) ? latter : former);
    }
    int named = document.services().values().stream().mapToInt(List::size).sum();
    if (byId.size() > named + UNNAMED_KEPT) {
      byId.keySet().retainAll(ids(document));
    }
  }

  private static Set<String> ids(PlatformDocument document) {
    return document.services().values().stream()
        .flatMap(List::stream)
        .map(PlatformDocument.BackendAddress::id)
        .collect(Collectors.toSet());
  }
}
