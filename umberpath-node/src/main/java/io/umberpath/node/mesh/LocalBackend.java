package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendEntry;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** What this node believes of the back end beside it. Thread-safe. */
final class LocalBackend {
  private static final int DEFAULT_SLOTS = 4;

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final Predicate<String> attested;
  private final Set<String> known = ConcurrentHashMap.newKeySet();
  private final Set<String> ended = ConcurrentHashMap.newKeySet();
  private volatile boolean leaving;
  private volatile int slots = DEFAULT_SLOTS;

  /**
   * Creates one that knows nothing of it.
   *
   * @param attested whether a start of the back end lives although its entry has lapsed
   */
  LocalBackend(MeshSettings settings, Supplier<MeshView> view, Predicate<String> attested) {
    this.settings = settings;
    this.view = view;
    this.attested = attested;
  }

  /** This node takes no new work for its back end. */
  void leave() {
    leaving = true;
  }

  /** Requests that the back end works on at once. */
  int slots() {
    return slots;
  }

  /** Looks at the back end's entries; returns whether the number of slots has changed. */
  boolean refresh() {
    List<BackendEntry> entries = view.get().backends().at(settings.backend());
    entries.forEach(entry -> known.add(entry.id()));
    int stated = entries.stream().mapToInt(BackendEntry::slots).max().orElse(slots);
    boolean changed = stated != slots;
    slots = stated;
    return changed;
  }

  /** Asked for one start of the back end, another one has answered; so the first has ended. */
  void isAnother(String asked, String answered) {
    if (!asked.equals(answered)) {
      ended.add(asked);
    }
  }

  /** Whether new work for that start of the back end is to be passed on. */
  boolean takes(String instance) {
    if (leaving || ended.contains(instance)) {
      return false;
    }
    Optional<BackendEntry> entry = view.get().backends().byId(instance);
    if (entry.isPresent()) {
      known.add(instance);
      return entry.get().state() == BackendEntry.State.READY;
    }
    // What was listed and is no more has left; what was never listed here may just have begun.
    return !known.contains(instance) || attested.test(instance);
  }
}
