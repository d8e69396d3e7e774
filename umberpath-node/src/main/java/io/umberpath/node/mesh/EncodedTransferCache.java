package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StorePosition;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Caches encoded transfers, because after each change the nodes of a zone request the same ones.
 * Thread-safe.
 */
final class EncodedTransferCache {
  /** Cached transfers; the positions of a zone's nodes differ by a change or two. */
  private static final int MAX_ENTRIES = 4;

  /**
   * Identifies the content of an encoded transfer.
   *
   * @param firstPatchedRevision revision of the item that the first patch applies to; -1 without
   *     patches
   */
  private record CacheKey(
      StorePosition after, StorePosition position, long firstPatchedRevision, StoreFacts facts) {}

  private final Map<CacheKey, byte[]> encodedByKey =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<CacheKey, byte[]> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  synchronized byte[] encode(StateTransfer transfer) {
    StoreChanges changes = transfer.changes();
    CacheKey key =
        new CacheKey(
            changes.after(), changes.position(), firstPatchedRevision(changes), transfer.facts());
    return encodedByKey.computeIfAbsent(key, absent -> StateChangesCodec.encode(transfer));
  }

  private static long firstPatchedRevision(StoreChanges changes) {
    return changes.patches().isEmpty() ? -1 : changes.patches().get(0).fromRevision();
  }
}
