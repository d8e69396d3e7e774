package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StorePosition;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Encodes transfers once for all the nodes that ask for the same ones, as those of a zone do after
 * each change. Thread-safe.
 */
final class EncodedChanges {
  /** Spans of changes kept; nodes of a zone differ by a change or two. */
  private static final int MAX_KEPT = 4;

  /**
   * What an encoding holds.
   *
   * @param firstPatched revision of the item that the first patch applies to; -1 without patches
   */
  private record Span(StorePosition after, StorePosition at, long firstPatched, StoreFacts facts) {}

  private final Map<Span, byte[]> bySpan =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Span, byte[]> eldest) {
          return size() > MAX_KEPT;
        }
      };

  synchronized byte[] of(StateTransfer transfer) {
    StoreChanges changes = transfer.changes();
    Span span = new Span(changes.after(), changes.at(), firstPatched(changes), transfer.facts());
    return bySpan.computeIfAbsent(span, absent -> StateChangesCodec.encode(transfer));
  }

  private static long firstPatched(StoreChanges changes) {
    return changes.patches().isEmpty() ? -1 : changes.patches().get(0).fromRevision();
  }
}
