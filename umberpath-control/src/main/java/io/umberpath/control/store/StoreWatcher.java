package io.umberpath.control.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Follows the items below one prefix: reads them all, then watches from the revision of the first
 * page on, and reads again when the store has forgotten that revision. Changes are applied by
 * revision, so that what is heard twice or late changes nothing. Owner synchronizes.
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

  /** Revision after which every removal is remembered. */
  private long removalsSince = -1;

  private String lastKey;
  private long firstPageAt = -1;
  private long at = -1;
  private boolean reading = true;
  private int failures;
  private long notBeforeMillis;
  private long heardAtMillis = -1;
  private int fastPolls;
  private long fastPollsSinceMillis;

  /**
   * Creates a watcher that knows nothing.
   *
   * @param prefix beginning of the keys; may be empty
   * @param random numbers from 0 to 1, for the pauses after failures
   */
  public StoreWatcher(String prefix, StoreWatcherSettings settings, DoubleSupplier random) {
    this.prefix = prefix;
    this.settings = settings;
    this.fastPolls = settings.fastPolls();
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
    return new Step.Call(new StoreCall.Watch(prefix, at, wait));
  }

  /**
   * Takes the answer of the last call.
   *
   * @return whether the items have changed
   */
  public boolean answered(long nowMillis, StoreAnswer answer) {
    if (answer instanceof StoreAnswer.Page page) {
      heard(nowMillis);
      return takePage(page);
    }
    if (answer instanceof StoreAnswer.Events events) {
      heard(nowMillis);
      return takeEvents(nowMillis, events);
    }
    if (answer instanceof StoreAnswer.HistoryGone) {
      heard(nowMillis);
      beginReading();
      return false;
    }
    if (answer instanceof StoreAnswer.Unavailable && reading) {
      beginReading();
    }
    backOff(nowMillis);
    return false;
  }

  private void heard(long nowMillis) {
    failures = 0;
    heardAtMillis = nowMillis;
  }

  private void beginReading() {
    reading = true;
    pages = new HashMap<>();
    lastKey = null;
    firstPageAt = -1;
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
    if (firstPageAt < 0) {
      firstPageAt = page.at().revision();
    }
    page.items().forEach(item -> pages.put(item.key(), item));
    if (page.more() && !page.items().isEmpty()) {
      lastKey = page.items().get(page.items().size() - 1).key();
      return false;
    }
    reading = false;
    Map<String, StoreItem> read = pages;
    long readAt = firstPageAt;
    pages = new HashMap<>();
    lastKey = null;
    return replace(read, readAt);
  }

  /** Takes a whole state unless a newer one is held; whether something changed. */
  private boolean replace(Map<String, StoreItem> newItems, long newAt) {
    if (newAt < at) {
      return false;
    }
    boolean changed = at < 0 || !items.equals(newItems);
    for (StoreItem item : newItems.values()) {
      StoreItem held = items.get(item.key());
      if (held != null) {
        history.replaced(held, item);
      }
    }
    items = newItems;
    at = newAt;
    removals.clear();
    removalsSince = newAt;
    return changed;
  }

  private boolean takeEvents(long nowMillis, StoreAnswer.Events events) {
    boolean changed = false;
    for (StoreEvent event : events.events()) {
      // What was adopted meanwhile already holds older changes.
      changed |= event.revision() > at && apply(event);
    }
    at = Math.max(at, events.at().revision());
    if (!events.events().isEmpty()) {
      notBeforeMillis = nowMillis + pauseMillis(nowMillis);
    }
    return changed;
  }

  /** A few fast polls when changes begin, as after a restart of many; then a longer pause. */
  private long pauseMillis(long nowMillis) {
    long back = (nowMillis - fastPollsSinceMillis) / settings.fastPollRefillMillis();
    fastPolls = (int) Math.min(settings.fastPolls(), fastPolls + back);
    fastPollsSinceMillis += back * settings.fastPollRefillMillis();
    if (fastPolls == 0) {
      return settings.pauseMillis();
    }
    fastPolls--;
    return settings.fastPollPauseMillis();
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
    if (changes.at() <= at || changes.after() > at) {
      return Adoption.UNCHANGED;
    }
    Optional<Map<String, StoreItem>> patched = patched(changes.patches());
    if (patched.isEmpty()) {
      return Adoption.UNFIT;
    }
    boolean changed = changes.isWhole() ? adoptWhole(changes) : adoptSteps(changes, patched.get());
    if (reading && firstPageAt < 0) {
      reading = false;
    }
    return changed ? Adoption.CHANGED : Adoption.UNCHANGED;
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
    long after = request.after();
    if (at < 0 || after < removalsSince) {
      return new StoreChanges(StoreChanges.FROM_NOTHING, at, items(), List.of());
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
    return new StoreChanges(after, at, written, gone, patches);
  }

  /** What this node holds, for another one to carry on from. */
  public StateRequest request() {
    StoreItem largest = null;
    for (StoreItem item : items.values()) {
      if (largest == null || item.value().length() > largest.value().length()) {
        largest = item;
      }
    }
    return new StateRequest(at, largest == null ? StoreChanges.FROM_NOTHING : largest.revision());
  }

  /** The items by key order of no meaning; empty before the first whole read. */
  public List<StoreItem> items() {
    return List.copyOf(items.values());
  }

  /** Revision of the items; -1 before the first whole read. */
  public long at() {
    return at;
  }

  /** When the store last answered a call, milliseconds; -1 if never. */
  public long heardAtMillis() {
    return heardAtMillis;
  }
}
