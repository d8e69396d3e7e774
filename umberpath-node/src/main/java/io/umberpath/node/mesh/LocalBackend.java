package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.model.routing.ServiceDefinition;
import io.umberpath.traffic.ColdStartLimiter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** What this node believes of the back end beside it. Thread-safe. */
final class LocalBackend {
  private static final int DEFAULT_SLOTS = 4;

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final Predicate<String> isAttested;
  private final LocalBackendSpeed speed;
  private final Set<BackendStart> endedStarts = ConcurrentHashMap.newKeySet();

  /** The latest start listed under each id that was ever listed. */
  private final Map<String, BackendStart> lastKnownStarts = new ConcurrentHashMap<>();

  private final ColdStartLimiter coldStarts;
  private final LongSupplier clockMillis;
  private BackendEntry lastSeenEntry;
  private boolean wasEvacuated;
  private volatile boolean draining;
  private volatile int slots = DEFAULT_SLOTS;
  private volatile long bornMillis = BackendStart.UNKNOWN_BORN_MILLIS;

  /**
   * Creates one that knows nothing of it.
   *
   * @param attested whether a start of the back end lives although its entry has lapsed
   * @param speed how fast the back end is
   * @param clockMillis rising clock, milliseconds
   */
  LocalBackend(
      MeshSettings settings,
      Supplier<MeshView> view,
      Predicate<String> isAttested,
      LocalBackendSpeed speed,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.view = view;
    this.isAttested = isAttested;
    this.speed = speed;
    this.clockMillis = clockMillis;
    this.coldStarts = new ColdStartLimiter(settings.coldStarts(), clockMillis.getAsLong());
  }

  /** This node takes no new work for its back end. */
  void startDraining() {
    draining = true;
  }

  /** Whether the zone of this node is evacuated: its back ends finish what they have. */
  boolean isEvacuated() {
    return view.get().backends().isEvacuated(settings.zone());
  }

  /** Requests that the back end works on at once. */
  int slots() {
    return slots;
  }

  /** How fast the start of it is that runs. */
  LocalBackendSpeed speed() {
    return speed;
  }

  /** The start that is listed, or was last; see {@link BackendEntry#bornMillis}. */
  long bornMillis() {
    return bornMillis;
  }

  /** Looks at the back end's entries; returns whether the number of slots has changed. */
  boolean refresh() {
    List<BackendEntry> entries = view.get().backends().at(settings.backend());
    for (BackendEntry entry : entries) {
      lastKnownStarts.put(entry.id(), entry.start());
      bornMillis = entry.bornMillis();
    }
    int reportedSlots = entries.stream().mapToInt(BackendEntry::slots).max().orElse(slots);
    boolean changed = reportedSlots != slots;
    slots = reportedSlots;
    entries.forEach(this::refreshColdStart);
    boolean evacuated = isEvacuated();
    if (wasEvacuated && !evacuated) {
      // A back end may turn cold while its zone is evacuated, and its entry may say so later.
      startColdPeriod(warmupMillis());
    }
    wasEvacuated = evacuated;
    return changed;
  }

  /** The start under an id that this node knows of, listed or not. */
  BackendStart startOf(String instance) {
    return view.get()
        .backends()
        .byId(instance)
        .map(BackendEntry::start)
        .or(() -> Optional.ofNullable(lastKnownStarts.get(instance)))
        .orElseGet(() -> new BackendStart(instance, BackendStart.UNKNOWN_BORN_MILLIS));
  }

  /** An entry that was written anew tells for how long the back end was cold then. */
  private void refreshColdStart(BackendEntry entry) {
    if (entry != lastSeenEntry) {
      lastSeenEntry = entry;
      startColdPeriod(entry.warmupMillis());
    }
  }

  private void startColdPeriod(long millis) {
    ownService()
        .ifPresent(
            service -> {
              long now = clockMillis.getAsLong();
              coldStarts.cold(now, now + millis, service.coldPerSecond());
            });
  }

  private long warmupMillis() {
    return ownService().map(ServiceDefinition::warmupMillis).orElse(0L);
  }

  private Optional<ServiceDefinition> ownService() {
    MeshView current = view.get();
    return current.isComplete()
        ? Optional.ofNullable(current.configuration().services().get(settings.service()))
        : Optional.empty();
  }

  /** Bounds what the back end gets while it is cold. */
  ColdStartLimiter coldStarts() {
    return coldStarts;
  }

  /** Asked for one start of the back end, another one has answered; so the first has ended. */
  void recordRespondingInstance(String expectedInstance, String respondingInstance) {
    if (!expectedInstance.equals(respondingInstance)) {
      endedStarts.add(startOf(expectedInstance));
    }
  }

  /** Whether that start of the back end has not left as far as is known: its end is a crash. */
  boolean isServing(String instance) {
    return view.get()
        .backends()
        .byId(instance)
        .map(entry -> entry.state() == BackendEntry.State.READY)
        .orElseGet(() -> !lastKnownStarts.containsKey(instance) || isAttested.test(instance));
  }

  /** Whether new work for that start of the back end is to be passed on. */
  boolean acceptsNewWork(String instance) {
    if (draining || endedStarts.contains(startOf(instance)) || isEvacuated()) {
      return false;
    }
    Optional<BackendEntry> entry = view.get().backends().byId(instance);
    if (entry.isPresent()) {
      lastKnownStarts.put(instance, entry.get().start());
      return entry.get().state() == BackendEntry.State.READY;
    }
    if (lastKnownStarts.containsKey(instance)) {
      // What was listed and is no more has left, unless its entry only lapsed.
      return isAttested.test(instance);
    }
    // What was never listed here has just begun, for all that this node knows.
    startColdPeriod(warmupMillis());
    return true;
  }
}
