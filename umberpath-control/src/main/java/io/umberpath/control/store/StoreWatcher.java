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
  private Map<String, StoreItem> pages = new HashMap<>();
  private final PatchHistory history = new PatchHistory();
  private final ArrayDeque<StoreEvent.Gone> removals = new ArrayDeque<>();

  /** Revision of the present era after which every removal is remembered. */
  private long removalsSince = -1;

  private String lastKey;

  /** Position of the first page of the read that is under way; NOTHING before it. */
  private StorePosition firstPageAt = StorePosition.NOTHING;

  private StorePosition at = StorePosition.NOTHING;

  /** Era of the position that the last watch began from. */
  private long watchedEra = StorePosition.NO_ERA;

  /** Refused watches in a row with no answered one between them. */
  private int refusedWatches;

  private boolean reading = true;
  private int failures;
  private long notBeforeMillis;
  private long heardAtMillis = -1;
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
    if (nowMillis < notBeforeMillis) {
      return new Step.Wait(notBeforeMillis);
    }
    if (reading) {
      return new Step.Call(new StoreCall.Read(prefix, Optional.ofNullable(lastKey)));
    }
    // Drawn anew each time, so that the nodes do not all find out at once, and late, that it hangs.
    double drawn = 1 + settings.waitSpread() * (2 * random.getAsDouble() - 1);
    long wait = Math.round(settings.waitMillis() * drawn);
    watchedEra = at.era();
    return new Step.Call(new StoreCall.Watch(prefix, at.revision(), wait));
  }

  /**
   * Takes the answer of the last call.
   *
   * @return whether the items have changed
   */
  public boolean answered(long nowMillis, StoreAnswer answer) {
    if (isOutdated(answer)) {
      backOff(nowMillis);
      return false;
    }
    if (answer instanceof StoreAnswer.Page page) {
      heard(nowMillis);
      return takePage(page);
    }
    if (answer instanceof StoreAnswer.Events events) {
      heard(nowMillis);
      return takeEvents(nowMillis, events);
    }
    if (answer instanceof StoreAnswer.HistoryGone) {
      historyGone(nowMillis);
      return false;
    }
    if (answer instanceof StoreAnswer.Unavailable && reading) {
      beginReading();
    }
    backOff(nowMillis);
    return false;
  }

  /**
   * Whether an answer is of an era before the one that is known: it says nothing of the store. A
   * refused watch that names no era is taken all the same: reading anew is never wrong.
   */
  public boolean isOutdated(StoreAnswer answer) {
    OptionalLong era = answer.era();
    boolean namesNone = era.equals(OptionalLong.of(StorePosition.NO_ERA));
    if (namesNone && answer instanceof StoreAnswer.HistoryGone) {
      return false;
    }
    return era.isPresent() && era.getAsLong() < at.era();
  }

  /**
   * Reads anew; a store that refuses the position of a whole read, too, is not read in a circle.
   */
  private void historyGone(long nowMillis) {
    heardAtMillis = nowMillis;
    beginReading();
    if (refusedWatches > 0) {
      failures = refusedWatches;
      backOff(nowMillis);
    }
    refusedWatches++;
  }

  private void heard(long nowMillis) {
    failures = 0;
    heardAtMillis = nowMillis;
  }

  private void beginReading() {
    reading = true;
    pages = new HashMap<>();
    lastKey = null;
    firstPageAt = StorePosition.NOTHING;
  }

  private void backOff(long nowMillis) {
    long pause = settings.minBackoffMillis() << Math.min(failures, 10);
    failures++;
    long bounded = Math.min(pause, settings.maxBackoffMillis());
    notBeforeMillis = nowMillis + Math.round(bounded * (0.5 + 0.5 * random.getAsDouble()));
  }

  private boolean takePage(StoreAnswer.Page page) {
    if (!reading) {
      return false;
    }
    if (firstPageAt.isKnown() && firstPageAt.era() != page.at().era()) {
      // The store came back from a copy between two pages: they are not of one state.
      beginReading();
      return false;
    }
    if (!firstPageAt.isKnown()) {
      firstPageAt = page.at();
    }
    page.items().forEach(item -> pages.put(item.key(), item));
    if (page.more() && !page.items().isEmpty()) {
      lastKey = page.items().get(page.items().size() - 1).key();
      return false;
    }
    reading = false;
    Map<String, StoreItem> read = pages;
    StorePosition readAt = firstPageAt;
    pages = new HashMap<>();
    lastKey = null;
    return replace(read, readAt);
  }

  /** Takes a whole state unless a newer one is held; whether something changed. */
  private boolean replace(Map<String, StoreItem> newItems, StorePosition newAt) {
    if (at.isAfter(newAt)) {
      return false;
    }
    boolean changed = !at.isKnown() || at.era() != newAt.era() || !items.equals(newItems);
    if (at.era() == newAt.era()) {
      rememberPatches(newItems);
    } else {
      // Patches name revisions, which say nothing in another era.
      history.clear();
    }
    items = newItems;
    at = newAt;
    removals.clear();
    removalsSince = newAt.revision();
    return changed;
  }

  private void rememberPatches(Map<String, StoreItem> newItems) {
    for (StoreItem item : newItems.values()) {
      StoreItem held = items.get(item.key());
      if (held != null) {
        history.replaced(held, item);
      }
    }
  }

  private boolean takeEvents(long nowMillis, StoreAnswer.Events events) {
    refusedWatches = 0;
    if (events.at().era() > at.era()) {
      // They follow a revision of an era that is over, under which the store now has other changes.
      beginReading();
      return false;
    }
    if (events.at().era() != watchedEra) {
      // A newer era was adopted while this watch, from a revision of the one before, was waiting.
      return false;
    }
    boolean changed = false;
    for (StoreEvent event : events.events()) {
      // What was adopted meanwhile already holds older changes.
      changed |= event.revision() > at.revision() && apply(event);
    }
    at = StorePosition.later(at, events.at());
    if (!events.events().isEmpty()) {
      notBeforeMillis = nowMillis + pauses.next(nowMillis, settings);
    }
    return changed;
  }

  private boolean apply(StoreEvent event) {
    StoreItem held = items.get(event.key());
    if (held != null && held.revision() >= event.revision()) {
      return false;
    }
    if (event instanceof StoreEvent.Put put) {
      if (held != null) {
        history.replaced(held, put.item());
      }
      items.put(event.key(), put.item());
      return true;
    }
    rememberRemoval((StoreEvent.Gone) event);
    return items.remove(event.key()) != null;
  }

  private void rememberRemoval(StoreEvent.Gone gone) {
    removals.addLast(gone);
    if (removals.size() > MAX_REMOVALS) {
      removalsSince = removals.removeFirst().revision();
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
    if (!changes.at().isAfter(at) || !leadsOnFrom(at, changes)) {
      return Adoption.UNCHANGED;
    }
    Optional<Map<String, StoreItem>> patched = patched(changes.patches());
    if (patched.isEmpty()) {
      return Adoption.UNFIT;
    }
    boolean changed = changes.isWhole() ? adoptWhole(changes) : adoptSteps(changes, patched.get());
    if (reading && !firstPageAt.isKnown()) {
      reading = false;
    }
    return changed ? Adoption.CHANGED : Adoption.UNCHANGED;
  }

  private static boolean leadsOnFrom(StorePosition held, StoreChanges changes) {
    return changes.isWhole()
        || (changes.after().era() == held.era() && !changes.after().isAfter(held));
  }

  /** The items that patches make of those held; empty if one does not fit. */
  private Optional<Map<String, StoreItem>> patched(List<ItemPatch> patches) {
    Map<String, StoreItem> made = new HashMap<>();
    for (ItemPatch patch : patches) {
      StoreItem held = made.getOrDefault(patch.key(), items.get(patch.key()));
      if (held != null && held.revision() >= patch.revision()) {
        continue;
      }
      Optional<StoreItem> item = patch.applyTo(held);
      if (item.isEmpty()) {
        return Optional.empty();
      }
      made.put(patch.key(), item.get());
    }
    return Optional.of(made);
  }

  private boolean adoptWhole(StoreChanges changes) {
    Map<String, StoreItem> adopted = new HashMap<>();
    changes.items().forEach(item -> adopted.put(item.key(), item));
    return replace(adopted, changes.at());
  }

  private boolean adoptSteps(StoreChanges changes, Map<String, StoreItem> patched) {
    boolean changed = !patched.isEmpty();
    for (ItemPatch patch : changes.patches()) {
      StoreItem held = items.get(patch.key());
      if (held != null && held.revision() < patch.revision()) {
        history.remember(patch);
      }
    }
    items.putAll(patched);
    for (StoreEvent.Gone gone : changes.gone()) {
      changed |= apply(gone);
    }
    for (StoreItem item : changes.items()) {
      changed |= apply(new StoreEvent.Put(item));
    }
    at = changes.at();
    return changed;
  }

  /** What a node lacks; the whole state if it is further back than is remembered. */
  public StoreChanges changesSince(StateRequest request) {
    if (request.after().isAfter(at)) {
      return new StoreChanges(at, at, List.of(), List.of());
    }
    if (!at.isKnown() || request.after().era() != at.era()) {
      return whole();
    }
    long after = request.after().revision();
    if (after < removalsSince) {
      return whole();
    }
    List<StoreItem> written = new ArrayList<>();
    List<ItemPatch> patches = new ArrayList<>();
    for (StoreItem item : items.values()) {
      if (item.revision() > after) {
        history
            .between(item.key(), request.largestRevision(), item.revision())
            .ifPresentOrElse(patches::addAll, () -> written.add(item));
      }
    }
    List<StoreEvent.Gone> gone =
        removals.stream().filter(removal -> removal.revision() > after).toList();
    return new StoreChanges(request.after(), at, written, gone, patches);
  }

  private StoreChanges whole() {
    return new StoreChanges(StorePosition.NOTHING, at, items(), List.of());
  }

  /** What this node holds, for another one to carry on from. */
  public StateRequest request() {
    StoreItem largest = null;
    for (StoreItem item : items.values()) {
      if (largest == null || item.value().length() > largest.value().length()) {
        largest = item;
      }
    }
    return new StateRequest(at, largest == null ? StateRequest.NO_ITEM : largest.revision());
  }

  /** The items by key order of no meaning; empty before the first whole read. */
  public List<StoreItem> items() {
    return List.copyOf(items.values());
  }

  /** Position of the items; {@link StorePosition#NOTHING} before the first whole read. */
  public StorePosition at() {
    return at;
  }

  /** When the store last answered a call, milliseconds; -1 if never. */
  public long heardAtMillis() {
    return heardAtMillis;
  }
}
