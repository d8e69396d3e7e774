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
 * The latest observation of each backend. Written by the control thread, read by any thread.
 * Backends that the platform document no longer lists are removed once more than {@link
 * #MAX_UNLISTED_BACKENDS} accumulate.
 */
final class ObservedBackends {
  private static final int MAX_UNLISTED_BACKENDS = 1_000;

  private final ConcurrentHashMap<String, ObservedBackend> byId = new ConcurrentHashMap<>();
  private final Map<String, ObservedBackend> view = Collections.unmodifiableMap(byId);

  /** A live, unmodifiable view by backend id. */
  Map<String, ObservedBackend> view() {
    return view;
  }

  /** Merges observations, keeping the newest per backend. */
  void update(List<ObservedBackend> backends, PlatformDocument document) {
    for (ObservedBackend backend : backends) {
      byId.merge(
          backend.backendId(),
          backend,
          (current, received) -> received.supersedes(current) ? received : current);
    }
    int listed = document.services().values().stream().mapToInt(List::size).sum();
    if (byId.size() > listed + MAX_UNLISTED_BACKENDS) {
      byId.keySet().retainAll(listedIds(document));
    }
  }

  private static Set<String> listedIds(PlatformDocument document) {
    return document.services().values().stream()
        .flatMap(List::stream)
        .map(PlatformDocument.BackendAddress::id)
        .collect(Collectors.toSet());
  }
}
