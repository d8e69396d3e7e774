package io.umberpath.control.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Patches for the latest changes of large items, so that nodes a few changes behind do not need the
 * full items. Bounded in number and size. The owner synchronizes access.
 */
final class PatchHistory {
  /**
   * Minimum length of an item for which patches are kept, characters: smaller items fit into one or
   * two packets.
   */
  private static final int MIN_LENGTH = 4_096;

  /**
   * A burst of changes produces three a second, and a node is one or two seconds of them behind.
   */
  private static final int MAX_PATCHES = 16;

  /** Total characters kept: twice the compressed size of a configuration of 800 rules. */
  private static final int MAX_CHARACTERS = 64 * 1024;

  private final ArrayDeque<ItemPatch> patches = new ArrayDeque<>();
  private int characters;

  /** Whether patches are kept for an item. */
  static boolean isLarge(StoreItem item) {
    return item.value().length() >= MIN_LENGTH;
  }

  /** Records the replacement of an item as a patch, if the patch is small enough. */
  void recordReplacement(StoreItem previous, StoreItem current) {
    if (!isLarge(previous) || !isLarge(current) || previous.revision() >= current.revision()) {
      return;
    }
    TextPatch patch = TextPatch.between(previous.value(), current.value());
    if (patch.insertedLength() < MAX_CHARACTERS / 2) {
      add(new ItemPatch(current.key(), previous.revision(), current.revision(), patch));
    }
  }

  /** Removes all patches. */
  void clear() {
    patches.clear();
    characters = 0;
  }

  /** Adds a patch, evicting the oldest ones if the bounds are exceeded. */
  void add(ItemPatch patch) {
    patches.addLast(patch);
    characters += patch.patch().insertedLength();
    while (patches.size() > MAX_PATCHES || characters > MAX_CHARACTERS) {
      characters -= patches.removeFirst().patch().insertedLength();
    }
  }

  /**
   * The chain of patches from one revision of an item to another; empty if part of it is missing.
   */
  Optional<List<ItemPatch>> findChain(String key, long fromRevision, long revision) {
    List<ItemPatch> chain = new ArrayList<>();
    long reached = fromRevision;
    for (ItemPatch patch : patches) {
      if (patch.key().equals(key) && patch.fromRevision() == reached && reached < revision) {
        chain.add(patch);
        reached = patch.revision();
      }
    }
    return reached == revision ? Optional.of(chain) : Optional.empty();
  }
}
