package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.model.routing.ServiceDefinition;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.traffic.ColdStartLimiter;
import io.umberpath.traffic.CombinedStartLimiter;
import io.umberpath.traffic.StartLimiter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** State of the local backend as this node knows it. Thread-safe. */
final class LocalBackend {
  private static final int DEFAULT_SLOTS = 4;

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final Predicate<String> isAttested;
  private final LocalBackendSpeed speed;
  private final Set<BackendStart> endedStarts = ConcurrentHashMap.newKeySet();

  /** The latest listed start of each backend id that was ever listed. */
  private final Map<String, BackendStart> lastKnownStarts = new ConcurrentHashMap<>();

  private final ColdStartLimiter coldStarts;
  private final StartLimiter startLimiter;
  private final NoticeParser noticeParser;
  private final LocalBackendNotices notices;
  private final LongSupplier clockMillis;

  /** The entries at the backend's address, as of the last look at them. */
  private List<BackendEntry> lastSeenEntries = List.of();

  private volatile BackendStart listedStart;
  private boolean wasEvacuated;
  private volatile boolean draining;
  private volatile int slots = DEFAULT_SLOTS;
  private volatile long startTimeMillis = BackendStart.UNKNOWN_START_TIME_MILLIS;

  /**
   * Creates the state of a backend that has not been seen yet.
   *
   * @param isAttested whether a start of the backend is known to be alive although its entry has
   *     expired
   * @param speed speed of the backend
   * @param noticeParser parses what the backend announces in a response
   * @param notices what the backend has announced in its responses
   * @param clockMillis monotonic clock, milliseconds
   */
  LocalBackend(
      MeshSettings settings,
      Supplier<MeshView> view,
      Predicate<String> isAttested,
      LocalBackendSpeed speed,
      NoticeParser noticeParser,
      LocalBackendNotices notices,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.view = view;
    this.isAttested = isAttested;
    this.speed = speed;
    this.clockMillis = clockMillis;
    this.coldStarts = new ColdStartLimiter(settings.coldStarts(), clockMillis.getAsLong());
    this.noticeParser = noticeParser;
    this.notices = notices;
    this.startLimiter = new CombinedStartLimiter(coldStarts, notices.rateLimiter());
  }

  /** From now on this node accepts no new work for its backend. */
  void startDraining() {
    draining = true;
  }

  /**
   * Returns whether this node's zone is evacuated, so that its backends only finish running
   * requests.
   */
  boolean isEvacuated() {
    return view.get().backends().isEvacuated(settings.zone());
  }

  /** Returns whether the listed backend has announced its end in a response. */
  boolean isLeaving() {
    BackendStart start = listedStart;
    return start != null && notices.isLeaving(start);
  }

  /** Returns the number of requests that the backend runs concurrently. */
  int slots() {
    return slots;
  }

  /** Returns the speed of the running start of the backend. */
  LocalBackendSpeed speed() {
    return speed;
  }

  /**
   * Returns the start time of the listed or last listed start; see {@link
   * BackendEntry#startTimeMillis}.
   */
  long startTimeMillis() {
    return startTimeMillis;
  }

  /** Reads the backend's entries; returns whether the number of slots has changed. */
  boolean refresh() {
    List<BackendEntry> entries = view.get().backends().atAddress(settings.backend());
    for (BackendEntry entry : entries) {
      lastKnownStarts.put(entry.id(), entry.start());
      startTimeMillis = entry.startTimeMillis();
      refreshListedStart(entry.start());
    }
    int reportedSlots = entries.stream().mapToInt(BackendEntry::slots).max().orElse(slots);
    boolean changed = reportedSlots != slots;
    slots = reportedSlots;
    refreshColdStart(entries);
    boolean evacuated = isEvacuated();
    if (wasEvacuated && !evacuated) {
      // A backend may become cold while its zone is evacuated, and its entry may report that later.
      startColdPeriod(warmupMillis());
    }
    wasEvacuated = evacuated;
    return changed;
  }

  /** The backend at the address was replaced if another start is listed there. */
  private void refreshListedStart(BackendStart listed) {
    if (listedStart != null && !listed.equals(listedStart)) {
      notices.startEnded(listedStart);
    }
    listedStart = listed;
  }

  /** Returns the known start of a backend id, whether or not it is still listed. */
  BackendStart startOf(String instance) {
    return view.get()
        .backends()
        .byId(instance)
        .map(BackendEntry::start)
        .or(() -> Optional.ofNullable(lastKnownStarts.get(instance)))
        .orElseGet(() -> new BackendStart(instance, BackendStart.UNKNOWN_START_TIME_MILLIS));
  }

  /**
   * Starts a cold period for each entry that was written anew; the entry tells how long the backend
   * is cold. There are two entries until that of an earlier start has expired.
   */
  private void refreshColdStart(List<BackendEntry> entries) {
    for (BackendEntry entry : entries) {
      if (!lastSeenEntries.contains(entry)) {
        startColdPeriod(entry.warmupMillis());
      }
    }
    lastSeenEntries = entries;
  }

  private void startColdPeriod(long millis) {
    ownService()
        .ifPresent(
            service -> {
              long now = clockMillis.getAsLong();
              coldStarts.markCold(now, now + millis, service.coldPerSecond());
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

  /** Limits the request rate while the backend is cold. */
  ColdStartLimiter coldStarts() {
    return coldStarts;
  }

  /** Limits the request rate while the backend is cold, and to the rate that it announced. */
  StartLimiter startLimiter() {
    return startLimiter;
  }

  /** Limits the request rate to that which the backend announced. */
  StartLimiter rateLimiter() {
    return notices.rateLimiter();
  }

  /**
   * Records what an instance of the backend announces in a response.
   *
   * @param sentMillis when the request was sent to it
   */
  void recordNotice(String instance, ResponseHead head, long sentMillis) {
    notices.recordResponse(startOf(instance), noticeParser.parse(head), sentMillis);
  }

  /** Records what another node remembers of the announcements of an instance. */
  void recordRememberedNotice(String instance, NoticeHeader remembered) {
    if (acceptsNewWork(instance)) {
      notices.recordRemembered(startOf(instance), remembered);
    }
  }

  /** Returns what an instance has announced, for other nodes; empty if nothing. */
  Optional<NoticeHeader> noticeOf(String instance) {
    return notices.isEmpty() ? Optional.empty() : notices.headerFor(startOf(instance));
  }

  /**
   * Records which start of the backend responded. If it is not the expected one, the expected one
   * has ended.
   */
  void recordRespondingInstance(String expectedInstance, String respondingInstance) {
    if (!expectedInstance.equals(respondingInstance)) {
      endedStarts.add(startOf(expectedInstance));
    }
  }

  /**
   * Returns whether that start of the backend is not known to be draining or gone, so that its end
   * is a crash.
   */
  boolean isServing(String instance) {
    if (notices.isLeaving(startOf(instance))) {
      return false;
    }
    return view.get()
        .backends()
        .byId(instance)
        .map(entry -> entry.state() == BackendEntry.State.READY)
        .orElseGet(() -> !lastKnownStarts.containsKey(instance) || isAttested.test(instance));
  }

  /** Returns whether new work for that start of the backend may be forwarded. */
  boolean acceptsNewWork(String instance) {
    BackendStart start = startOf(instance);
    if (draining || endedStarts.contains(start) || notices.isLeaving(start) || isEvacuated()) {
      return false;
    }
    Optional<BackendEntry> entry = view.get().backends().byId(instance);
    if (entry.isPresent()) {
      lastKnownStarts.put(instance, entry.get().start());
      return entry.get().state() == BackendEntry.State.READY;
    }
    if (lastKnownStarts.containsKey(instance)) {
      // An instance that is no longer listed has gone, unless only its entry expired.
      return isAttested.test(instance);
    }
    // An instance that was never listed on this node is assumed to have just started.
    startColdPeriod(warmupMillis());
    return true;
  }
}
