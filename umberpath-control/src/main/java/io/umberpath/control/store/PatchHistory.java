package io.umberpath.control.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Patches of the latest changes of large items, so that nodes a few changes behind need not take
 * whole items. Bounded in number and size. Owner synchronizes.
 */
final class PatchHistory {
  /** Length from which an item is worth a patch, characters: smaller ones fit a packet or two. */
  private static final int MIN_LENGTH = 4_096;

  /** A storm of changes makes three a second; a node is behind by a second or two of them. */
  private static final int MAX_PATCHES = 16;

  /** Characters kept in all: what a whole configuration of 800 rules takes compressed, twice. */
  private static final int MAX_CHARACTERS = 64 * 1024;

  private final ArrayDeque<ItemPatch> patches = new ArrayDeque<>();
  private int characters;

  /** Whether changes of an item are remembered as patches. */
  static boolean isLarge(StoreItem item) {
    return item.value().length() >= MIN_LENGTH;
  }

  /** Remembers how an item was replaced, if that is shorter than the item. */
  void recordReplacement(StoreItem previous, StoreItem current) {
    if (!isLarge(previous) || !isLarge(current) || previous.revision() >= current.revision()) {
      return;
    }
    TextPatch patch = TextPatch.between(previous.value(), current.value());
    if (patch.insertedLength() < MAX_CHARACTERS / 2) {
      add(new ItemPatch(current.key(), previous.revision(), current.revision(), patch));
    }
  }

  /** Forgets all. */
  void clear() {
    patches.clear();
    characters = 0;
  }

  /** Remembers a patch that another node made. */
  void add(ItemPatch patch) {
    patches.addLast(patch);
    characters += patch.patch().insertedLength();
    while (patches.size() > MAX_PATCHES || characters > MAX_CHARACTERS) {
      characters -= patches.removeFirst().patch().insertedLength();
    }
  }

  /** The patches that lead from one revision of an item to another; empty if some are missing. */
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
