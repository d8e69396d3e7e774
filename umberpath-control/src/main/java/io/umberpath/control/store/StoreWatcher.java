package io.umberpath.control.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Follows the items with a key prefix: reads all of them, then watches from the position of the
 * first page, and reads again when the store no longer has that position, is in a newer era, or
 * sends a response that cannot be read. Changes are applied by position, so duplicate or late ones
 * have no effect. The owner synchronizes access.
 */
public final class StoreWatcher {
  /** The next action of the caller. */
  public sealed interface Step {
    /** Make this call and report its response. */
    record Call(StoreRequest call) implements Step {}

    /** Call {@link #nextStep} again at this time, milliseconds. */
    record Wait(long untilMillis) implements Step {}
  }

  /**
   * Removals remembered for nodes that are behind; a release removes at most a few hundred items.
   */
  private static final int MAX_REMOVALS = 1_024;

  private final String prefix;
  private StoreWatcherSettings settings;
  private final DoubleSupplier random;
  private Map<String, StoreItem> items = new HashMap<>();
  private Map<String, StoreItem> pendingItems = new HashMap<>();
  private final PatchHistory patchHistory = new PatchHistory();
  private final ArrayDeque<StoreEvent.Delete> removals = new ArrayDeque<>();

  /** Revision of the current era after which every removal is remembered. */
  private long removalsKnownSince = -1;

  private String lastKey;

  /** Position of the first page of the read in progress; NOTHING before that page arrives. */
  private StorePosition firstPagePosition = StorePosition.UNKNOWN;

  private StorePosition position = StorePosition.UNKNOWN;

  /** Era of the position from which the last watch started. */
  private long watchedEra = StorePosition.NO_ERA;

  /** Watches that were rejected or unreadable since the last successful one. */
  private int consecutiveRejectedWatches;

  private boolean isReading = true;
  private int failures;
  private long nextCallMillis;
  private long lastResponseMillis = -1;
  private final PollPauses pauses;

  /**
   * Creates a watcher without state.
   *
   * @param prefix key prefix; may be empty
   * @param random source of numbers from 0 to 1, for jitter
   */
  public StoreWatcher(String prefix, StoreWatcherSettings settings, DoubleSupplier random) {
    this.prefix = prefix;
    this.settings = settings;
    this.pauses = new PollPauses(settings);
    this.random = random;
  }

  /** Changes the timing of subsequent calls. */
  public void updateSettings(StoreWatcherSettings newSettings) {
    settings = newSettings;
  }

  /** The next action. */
  public Step nextStep(long nowMillis) {
    if (nowMillis < nextCallMillis) {
      return new Step.Wait(nextCallMillis);
    }
    if (isReading) {
      return new Step.Call(new StoreRequest.Read(prefix, Optional.ofNullable(lastKey)));
    }
    // Randomized for each watch, so that the nodes do not all discover a hung store at the same
    // late moment.
    double jitter = 1 + settings.waitJitter() * (2 * random.getAsDouble() - 1);
    long wait = Math.round(settings.waitMillis() * jitter);
    watchedEra = position.era();
    return new Step.Call(new StoreRequest.Watch(prefix, position.revision(), wait));
  }

  /**
   * Processes the response to the last call.
   *
   * @return whether the items have changed
   */
  public boolean onResponse(long nowMillis, StoreResponse response) {
    if (isOutdated(response)) {
      backOff(nowMillis);
      return false;
    }
    if (response instanceof StoreResponse.Page page) {
      recordResponse(nowMillis);
      return applyPage(page);
    }
    if (response instanceof StoreResponse.Events events) {
      recordResponse(nowMillis);
      return applyEvents(nowMillis, events);
    }
    if (response instanceof StoreResponse.HistoryGone) {
      lastResponseMillis = nowMillis;
      onWatchRejected(nowMillis);
    } else if (response instanceof StoreResponse.Unreadable && !isReading) {
      // The same watch would get the same response. Pages are limited in size.
      onWatchRejected(nowMillis);
    } else {
      onCallFailed(nowMillis, response);
    }
    return false;
  }

  private void onCallFailed(long nowMillis, StoreResponse response) {
    if (isReading && !(response instanceof StoreResponse.Throttled)) {
      startRead();
    }
    backOff(nowMillis);
  }

  /**
   * Whether a response belongs to an era before the known one and so does not describe the store's
   * current state. A rejected watch that states no era is still processed, because reading again is
   * always safe.
   */
  public boolean isOutdated(StoreResponse response) {
    OptionalLong era = response.era();
    boolean namesNone = era.equals(OptionalLong.of(StorePosition.NO_ERA));
    if (namesNone && response instanceof StoreResponse.HistoryGone) {
      return false;
    }
    return era.isPresent() && era.getAsLong() < position.era();
  }

  /**
   * Starts a new read. Backs off if the watch after a completed read was rejected too, so that the
   * watcher does not read in a tight loop.
   */
  private void onWatchRejected(long nowMillis) {
    startRead();
    if (consecutiveRejectedWatches > 0) {
      failures = consecutiveRejectedWatches;
      backOff(nowMillis);
    }
    consecutiveRejectedWatches++;
  }

  private void recordResponse(long nowMillis) {
    failures = 0;
    lastResponseMillis = nowMillis;
  }

  private void startRead() {
    isReading = true;
    pendingItems = new HashMap<>();
    lastKey = null;
    firstPagePosition = StorePosition.UNKNOWN;
  }

  private void backOff(long nowMillis) {
    long backoff = settings.minBackoffMillis() << Math.min(failures, 10);
    failures++;
    long bounded = Math.min(backoff, settings.maxBackoffMillis());
    nextCallMillis = nowMillis + Math.round(bounded * (0.5 + 0.5 * random.getAsDouble()));
  }

  private boolean applyPage(StoreResponse.Page page) {
    if (!isReading) {
      return false;
    }
    if (firstPagePosition.isKnown() && firstPagePosition.era() != page.position().era()) {
      // The store was restored from a copy between two pages, so they do not belong to one state.
      startRead();
      return false;
    }
    if (!firstPagePosition.isKnown()) {
      firstPagePosition = page.position();
    }
    page.items().forEach(item -> pendingItems.put(item.key(), item));
    if (page.hasMore()) {
      lastKey = page.nextAfter().get();
      return false;
    }
    isReading = false;
    Map<String, StoreItem> read = pendingItems;
    StorePosition readPosition = firstPagePosition;
    pendingItems = new HashMap<>();
    lastKey = null;
    return replaceState(read, readPosition);
  }

  /** Replaces the state unless a newer one is held; returns whether something changed. */
  private boolean replaceState(Map<String, StoreItem> newItems, StorePosition newPosition) {
    if (position.isAfter(newPosition)) {
      return false;
    }
    boolean changed =
        !position.isKnown() || position.era() != newPosition.era() || !items.equals(newItems);
    if (position.era() == newPosition.era()) {
      recordPatches(newItems);
    } else {
      // Patches refer to revisions, which have no meaning in another era.
      patchHistory.clear();
    }
    items = newItems;
    position = newPosition;
    removals.clear();
    removalsKnownSince = newPosition.revision();
    return changed;
  }

  private void recordPatches(Map<String, StoreItem> newItems) {
    for (StoreItem item : newItems.values()) {
      StoreItem current = items.get(item.key());
      if (current != null) {
        patchHistory.recordReplacement(current, item);
      }
    }
  }

  private boolean applyEvents(long nowMillis, StoreResponse.Events events) {
    consecutiveRejectedWatches = 0;
    if (events.position().era() > position.era()) {
      // The events follow a revision of a previous era, for which the store now has other changes.
      startRead();
      return false;
    }
    if (events.position().era() != watchedEra) {
      // A newer era was adopted while this watch, started in the previous era, was waiting.
      return false;
    }
    boolean changed = false;
    for (StoreEvent event : events.events()) {
      // State adopted in the meantime already contains older changes.
      changed |= event.revision() > position.revision() && apply(event);
    }
    position = StorePosition.later(position, events.position());
    if (!events.events().isEmpty()) {
      nextCallMillis = nowMillis + pauses.next(nowMillis, settings);
    }
    return changed;
  }

  private boolean apply(StoreEvent event) {
    StoreItem current = items.get(event.key());
    if (current != null && current.revision() >= event.revision()) {
      return false;
    }
    if (event instanceof StoreEvent.Put put) {
      if (current != null) {
        patchHistory.recordReplacement(current, put.item());
      }
      items.put(event.key(), put.item());
      return true;
    }
    recordRemoval(new StoreEvent.Delete(event.key(), event.revision()));
    return items.remove(event.key()) != null;
  }

  private void recordRemoval(StoreEvent.Delete delete) {
    removals.addLast(delete);
    if (removals.size() > MAX_REMOVALS) {
      removalsKnownSince = removals.removeFirst().revision();
    }
  }

  /** Result of adopting changes from another node. */
  public enum Adoption {
    /** The items changed. */
    CHANGED,
    /** The items did not change. */
    UNCHANGED,
    /**
     * A patch does not match the current item: nothing was adopted, and the full state is needed.
     */
    PATCH_MISMATCH
  }

  /** Adopts changes from another node, all or none, if they lead to a later position. */
  public Adoption adopt(StoreChanges changes) {
    if (!changes.position().isAfter(position) || !isApplicableTo(position, changes)) {
      return Adoption.UNCHANGED;
    }
    Optional<Map<String, StoreItem>> patched = applyPatches(changes.patches());
    if (patched.isEmpty()) {
      return Adoption.PATCH_MISMATCH;
    }
    boolean changed =
        changes.isWhole() ? adoptFullState(changes) : adoptChanges(changes, patched.get());
    if (isReading && !firstPagePosition.isKnown()) {
      isReading = false;
    }
    return changed ? Adoption.CHANGED : Adoption.UNCHANGED;
  }

  private static boolean isApplicableTo(StorePosition held, StoreChanges changes) {
    return changes.isWhole()
        || (changes.after().era() == held.era() && !changes.after().isAfter(held));
  }

  /** Applies patches to the current items; empty if one does not match. */
  private Optional<Map<String, StoreItem>> applyPatches(List<ItemPatch> patches) {
    Map<String, StoreItem> patched = new HashMap<>();
    for (ItemPatch patch : patches) {
      StoreItem current = patched.getOrDefault(patch.key(), items.get(patch.key()));
      if (current != null && current.revision() >= patch.revision()) {
        continue;
      }
      Optional<StoreItem> item = patch.applyTo(current);
      if (item.isEmpty()) {
        return Optional.empty();
      }
      patched.put(patch.key(), item.get());
    }
    return Optional.of(patched);
  }

  private boolean adoptFullState(StoreChanges changes) {
    Map<String, StoreItem> adopted = new HashMap<>();
    changes.items().forEach(item -> adopted.put(item.key(), item));
    return replaceState(adopted, changes.position());
  }

  private boolean adoptChanges(StoreChanges changes, Map<String, StoreItem> patched) {
    boolean changed = !patched.isEmpty();
    for (ItemPatch patch : changes.patches()) {
      StoreItem current = items.get(patch.key());
      if (current != null && current.revision() < patch.revision()) {
        patchHistory.add(patch);
      }
    }
    items.putAll(patched);
    for (StoreEvent.Delete delete : changes.removed()) {
      changed |= apply(delete);
    }
    for (StoreItem item : changes.items()) {
      changed |= apply(new StoreEvent.Put(item));
    }
    position = changes.position();
    return changed;
  }

  /**
   * The changes that a node lacks; the full state if it is further behind than the remembered
   * changes.
   */
  public StoreChanges changesSince(StateRequest request) {
    if (request.after().isAfter(position)) {
      return new StoreChanges(position, position, List.of(), List.of());
    }
    if (!position.isKnown() || request.after().era() != position.era()) {
      return fullState();
    }
    long after = request.after().revision();
    if (after < removalsKnownSince) {
      return fullState();
    }
    List<StoreItem> written = new ArrayList<>();
    List<ItemPatch> patches = new ArrayList<>();
    for (StoreItem item : items.values()) {
      if (item.revision() > after) {
        patchHistory
            .findChain(item.key(), request.largestRevision(), item.revision())
            .ifPresentOrElse(patches::addAll, () -> written.add(item));
      }
    }
    List<StoreEvent.Delete> removed =
        removals.stream().filter(removal -> removal.revision() > after).toList();
    return new StoreChanges(request.after(), position, written, removed, patches);
  }

  private StoreChanges fullState() {
    return new StoreChanges(StorePosition.UNKNOWN, position, items(), List.of());
  }

  /** Describes the state of this node, as a request for the changes since then. */
  public StateRequest stateRequest() {
    StoreItem largest = null;
    for (StoreItem item : items.values()) {
      if (largest == null || item.value().length() > largest.value().length()) {
        largest = item;
      }
    }
    return new StateRequest(position, largest == null ? StateRequest.NO_ITEM : largest.revision());
  }

  /** The items in no particular order; empty before the first complete read. */
  public List<StoreItem> items() {
    return List.copyOf(items.values());
  }

  /** Position of the items; {@link StorePosition#UNKNOWN} before the first complete read. */
  public StorePosition position() {
    return position;
  }

  /** When the store last responded, milliseconds; -1 if never. */
  public long lastResponseMillis() {
    return lastResponseMillis;
  }
}
