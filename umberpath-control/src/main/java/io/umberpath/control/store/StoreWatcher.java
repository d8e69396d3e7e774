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
 * Follows the items below one prefix: reads them all, then watches from the position of the first
 * page on, and reads again when the store has forgotten that position or is in a newer era. Changes
 * are applied by position, so that what is heard twice or late changes nothing. Owner synchronizes.
 */
public final class StoreWatcher {
  /** What to do next. */
  public sealed interface Step {
    /** Make this call and report its answer. */
    record Call(StoreCall call) implements Step {}

    /** Ask again at this time, milliseconds. */
    record Wait(long untilMillis) implements Step {}
  }

  /** Removals remembered for nodes that are behind; a release removes some hundred at most. */
  private static final int MAX_REMOVALS = 1_024;

  private final String prefix;
  private StoreWatcherSettings settings;
  private final DoubleSupplier random;
  private Map<String, StoreItem> items = new HashMap<>();
  private Map<String, StoreItem> pendingItems = new HashMap<>();
  private final PatchHistory patchHistory = new PatchHistory();
  private final ArrayDeque<StoreEvent.Gone> removals = new ArrayDeque<>();

  /** Revision of the present era after which every removal is remembered. */
  private long removalsKnownSince = -1;

  private String lastKey;

  /** Position of the first page of the read that is under way; NOTHING before it. */
  private StorePosition firstPagePosition = StorePosition.NOTHING;

  private StorePosition position = StorePosition.NOTHING;

  /** Era of the position that the last watch began from. */
  private long watchedEra = StorePosition.NO_ERA;

  /** Refused watches in a row with no answered one between them. */
  private int consecutiveRejectedWatches;

  private boolean isReading = true;
  private int failures;
  private long nextCallMillis;
  private long lastResponseMillis = -1;
  private final PollPauses pauses;

  /**
   * Creates a watcher that knows nothing.
   *
   * @param prefix beginning of the keys; may be empty
   * @param random numbers from 0 to 1, for the pauses after failures
   */
  public StoreWatcher(String prefix, StoreWatcherSettings settings, DoubleSupplier random) {
    this.prefix = prefix;
    this.settings = settings;
    this.pauses = new PollPauses(settings);
    this.random = random;
  }

  /** From now on calls are timed so. */
  public void pace(StoreWatcherSettings newSettings) {
    settings = newSettings;
  }

  /** What to do now. */
  public Step next(long nowMillis) {
    if (nowMillis < nextCallMillis) {
      return new Step.Wait(nextCallMillis);
    }
    if (isReading) {
      return new Step.Call(new StoreCall.Read(prefix, Optional.ofNullable(lastKey)));
    }
    // Drawn anew each time, so that the nodes do not all find out at once, and late, that it hangs.
    double jitter = 1 + settings.waitJitter() * (2 * random.getAsDouble() - 1);
    long wait = Math.round(settings.waitMillis() * jitter);
    watchedEra = position.era();
    return new Step.Call(new StoreCall.Watch(prefix, position.revision(), wait));
  }

  /**
   * Takes the answer of the last call.
   *
   * @return whether the items have changed
   */
  public boolean answered(long nowMillis, StoreAnswer response) {
    if (isOutdated(response)) {
      backOff(nowMillis);
      return false;
    }
    if (response instanceof StoreAnswer.Page page) {
      recordResponse(nowMillis);
      return applyPage(page);
    }
    if (response instanceof StoreAnswer.Events events) {
      recordResponse(nowMillis);
      return applyEvents(nowMillis, events);
    }
    if (response instanceof StoreAnswer.HistoryGone) {
      onHistoryExpired(nowMillis);
      return false;
    }
    if (response instanceof StoreAnswer.Unavailable && isReading) {
      startRead();
    }
    backOff(nowMillis);
    return false;
  }

  /**
   * Whether an answer is of an era before the one that is known: it says nothing of the store. A
   * refused watch that names no era is taken all the same: reading anew is never wrong.
   */
  public boolean isOutdated(StoreAnswer response) {
    OptionalLong era = response.era();
    boolean namesNone = era.equals(OptionalLong.of(StorePosition.NO_ERA));
    if (namesNone && response instanceof StoreAnswer.HistoryGone) {
      return false;
    }
    return era.isPresent() && era.getAsLong() < position.era();
  }

  /**
   * Reads anew; a store that refuses the position of a whole read, too, is not read in a circle.
   */
  private void onHistoryExpired(long nowMillis) {
    lastResponseMillis = nowMillis;
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
    firstPagePosition = StorePosition.NOTHING;
  }

  private void backOff(long nowMillis) {
    long backoff = settings.minBackoffMillis() << Math.min(failures, 10);
    failures++;
    long bounded = Math.min(backoff, settings.maxBackoffMillis());
    nextCallMillis = nowMillis + Math.round(bounded * (0.5 + 0.5 * random.getAsDouble()));
  }

  private boolean applyPage(StoreAnswer.Page page) {
    if (!isReading) {
      return false;
    }
    if (firstPagePosition.isKnown() && firstPagePosition.era() != page.at().era()) {
      // The store came back from a copy between two pages: they are not of one state.
      startRead();
      return false;
    }
    if (!firstPagePosition.isKnown()) {
      firstPagePosition = page.at();
    }
    page.items().forEach(item -> pendingItems.put(item.key(), item));
    if (page.more() && !page.items().isEmpty()) {
      lastKey = page.items().get(page.items().size() - 1).key();
      return false;
    }
    isReading = false;
    Map<String, StoreItem> read = pendingItems;
    StorePosition readPosition = firstPagePosition;
    pendingItems = new HashMap<>();
    lastKey = null;
    return replaceState(read, readPosition);
  }

  /** Takes a whole state unless a newer one is held; whether something changed. */
  private boolean replaceState(Map<String, StoreItem> newItems, StorePosition newPosition) {
    if (position.isAfter(newPosition)) {
      return false;
    }
    boolean changed =
        !position.isKnown() || position.era() != newPosition.era() || !items.equals(newItems);
    if (position.era() == newPosition.era()) {
      recordPatches(newItems);
    } else {
      // Patches name revisions, which say nothing in another era.
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

  private boolean applyEvents(long nowMillis, StoreAnswer.Events events) {
    consecutiveRejectedWatches = 0;
    if (events.at().era() > position.era()) {
      // They follow a revision of an era that is over, under which the store now has other changes.
      startRead();
      return false;
    }
    if (events.at().era() != watchedEra) {
      // A newer era was adopted while this watch, from a revision of the one before, was waiting.
      return false;
    }
    boolean changed = false;
    for (StoreEvent event : events.events()) {
      // What was adopted meanwhile already holds older changes.
      changed |= event.revision() > position.revision() && apply(event);
    }
    position = StorePosition.later(position, events.at());
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
    recordRemoval((StoreEvent.Gone) event);
    return items.remove(event.key()) != null;
  }

  private void recordRemoval(StoreEvent.Gone delete) {
    removals.addLast(delete);
    if (removals.size() > MAX_REMOVALS) {
      removalsKnownSince = removals.removeFirst().revision();
    }
  }

  /** What became of the changes of another node. */
  public enum Adoption {
    /** The items have changed. */
    CHANGED,
    /** The items are as before. */
    UNCHANGED,
    /** A patch is not for the item that is held: nothing was taken, the whole state is needed. */
    UNFIT
  }

  /** Takes changes that another node holds, whole or not at all, if they lead further. */
  public Adoption adopt(StoreChanges changes) {
    if (!changes.at().isAfter(position) || !isApplicableTo(position, changes)) {
      return Adoption.UNCHANGED;
    }
    Optional<Map<String, StoreItem>> patched = applyPatches(changes.patches());
    if (patched.isEmpty()) {
      return Adoption.UNFIT;
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

  /** The items that patches make of those held; empty if one does not fit. */
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
    return replaceState(adopted, changes.at());
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
    for (StoreEvent.Gone delete : changes.gone()) {
      changed |= apply(delete);
    }
    for (StoreItem item : changes.items()) {
      changed |= apply(new StoreEvent.Put(item));
    }
    position = changes.at();
    return changed;
  }

  /** What a node lacks; the whole state if it is further back than is remembered. */
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
    List<StoreEvent.Gone> removed =
        removals.stream().filter(removal -> removal.revision() > after).toList();
    return new StoreChanges(request.after(), position, written, removed, patches);
  }

  private StoreChanges fullState() {
    return new StoreChanges(StorePosition.NOTHING, position, items(), List.of());
  }

  /** What this node holds, for another one to carry on from. */
  public StateRequest request() {
    StoreItem largest = null;
    for (StoreItem item : items.values()) {
      if (largest == null || item.value().length() > largest.value().length()) {
        largest = item;
      }
    }
    return new StateRequest(position, largest == null ? StateRequest.NO_ITEM : largest.revision());
  }

  /** The items by key order of no meaning; empty before the first whole read. */
  public List<StoreItem> items() {
    return List.copyOf(items.values());
  }

  /** Position of the items; {@link StorePosition#NOTHING} before the first whole read. */
  public StorePosition at() {
    return position;
  }

  /** When the store last answered a call, milliseconds; -1 if never. */
  public long heardAtMillis() {
    return lastResponseMillis;
  }
}
