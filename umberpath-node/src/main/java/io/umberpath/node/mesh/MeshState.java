package io.umberpath.node.mesh;

import io.umberpath.control.store.BackendListing;
import io.umberpath.control.store.BackendListing.EffectiveListing;
import io.umberpath.control.store.BackendListing.StoreView;
import io.umberpath.control.store.BackendListing.StoredEntry;
import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.routing.RoutingTable;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * The state that this node has read from the store or pulled from other nodes. A configuration is
 * replaced only by one with a higher version, and applied completely or not at all. Thread-safe;
 * {@link #view} never blocks.
 */
final class MeshState {
  /** How long items are held before they are applied again after a failed attempt, milliseconds. */
  private static final long REFRESH_RETRY_MILLIS = 500;

  private final StoreItemParser parser;
  private final ConfigurationReader configurations;
  private final StoreWatcher watcher;
  private final MeshEvents events;

  private final StoreItemValidator validator;
  private final BackendListing listing = new BackendListing();
  private final LongSupplier clockMillis;

  /** The configuration item in the store; null if there is none. */
  private StoreItem storeConfigurationItem;

  private volatile long storeVersion = -1;

  /** The newest accepted configuration, kept even if the store returns to an older one; or null. */
  private RoutingConfiguration accepted;

  /** The item that {@link #accepted} was parsed from; null before the first. */
  private StoreItem acceptedItem;

  private volatile MeshView view = MeshView.EMPTY;

  /** Since when items are held that are not in force; meaningful only while there are any. */
  private volatile long pendingSinceMillis;

  /** When the position of the held items last advanced. */
  private volatile long advancedMillis;

  private final AtomicInteger activeRefreshes = new AtomicInteger();
  private volatile Runnable adoptedListener = () -> {};

  /**
   * Creates an empty state.
   *
   * @param clockMillis monotonic clock, milliseconds
   */
  MeshState(
      StoreItemParser parser, StoreWatcher watcher, MeshEvents events, LongSupplier clockMillis) {
    this.parser = parser;
    this.configurations = new ConfigurationReader(parser);
    this.validator = new StoreItemValidator(parser, events);
    this.watcher = watcher;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /** The current view. */
  MeshView view() {
    return view;
  }

  /** The watcher; guarded by this object's lock. */
  StoreWatcher watcher() {
    return watcher;
  }

  /** Outcome of a transfer. */
  enum Adoption {
    /** This node has a newer state now. */
    ADOPTED,
    /** It contained nothing newer. */
    NOT_NEWER,
    /** A patch did not apply to the held item: no item of the store was changed. */
    PATCH_MISMATCH
  }

  /** Sets a listener that is called when items of a peer are held, before they are applied. */
  void onAdopted(Runnable listener) {
    adoptedListener = listener;
  }

  /** Adopts the part of a peer's state that is newer than this node's. */
  Adoption adopt(StateTransfer transfer, String peer) {
    final MeshView before = view;
    boolean factsChanged;
    StoreWatcher.Adoption adoption;
    synchronized (this) {
      applyBeforeNewEra(transfer.changes().position().era());
      factsChanged = mergeFacts(transfer.facts(), peer);
      adoption = watcher.adopt(transfer.changes());
      updateHeldPosition(adoption == StoreWatcher.Adoption.CHANGED);
    }
    if (adoption == StoreWatcher.Adoption.CHANGED) {
      adoptedListener.run();
    }
    if (factsChanged || adoption == StoreWatcher.Adoption.CHANGED) {
      refresh(peer);
    }
    if (adoption == StoreWatcher.Adoption.PATCH_MISMATCH) {
      return Adoption.PATCH_MISMATCH;
    }
    MeshView now = view;
    boolean isNewer = now.version() > before.version() || now.position().isAfter(before.position());
    return isNewer ? Adoption.ADOPTED : Adoption.NOT_NEWER;
  }

  /**
   * Applies pending items before a new era, since an older copy of the store may lack facts that
   * they contain.
   */
  private void applyBeforeNewEra(long newEra) {
    if (!view.isFullyApplied() && newEra != watcher.position().era()) {
      applyItems("a new era");
    }
  }

  /**
   * Updates the position of the held items.
   *
   * @param isChanged whether items have changed and are to be applied next
   */
  private void updateHeldPosition(boolean isChanged) {
    boolean isApplied = !isChanged && view.isFullyApplied();
    if (!watcher.position().equals(view.heldPosition())) {
      advancedMillis = clockMillis.getAsLong();
    }
    if (!isApplied && view.isFullyApplied()) {
      pendingSinceMillis = clockMillis.getAsLong();
    }
    view =
        isApplied
            ? view.withPosition(watcher.position())
            : view.withHeldPosition(watcher.position());
  }

  /**
   * Handles a response of the store.
   *
   * @return whether the position advanced; the caller then calls {@link #refresh}
   */
  synchronized boolean handleResponse(long nowMillis, StoreResponse response) {
    response.era().ifPresent(this::applyBeforeNewEra);
    StorePosition before = watcher.position();
    boolean isChanged = watcher.onResponse(nowMillis, validator.validate(response));
    boolean hasAdvanced = isChanged || !watcher.position().equals(before);
    if (hasAdvanced) {
      updateHeldPosition(true);
    }
    return hasAdvanced;
  }

  private boolean mergeFacts(StoreFacts facts, String peer) {
    boolean departuresChanged = listing.addDepartures(clockMillis.getAsLong(), facts.departed());
    RoutingConfiguration before = accepted;
    facts.configuration().ifPresent(item -> acceptIfNewer(item, peer));
    return departuresChanged || accepted != before;
  }

  /** The position of the held items, from which a peer is to send changes. */
  synchronized StateRequest stateRequest() {
    return watcher.stateRequest();
  }

  /** The changes that another node lacks, with the facts that outlast a restored store. */
  synchronized StateTransfer transferFor(TransferRequest request) {
    StoreChanges changes = watcher.changesSince(request.state());
    // Items that are not applied yet may be of an older copy of the store.
    boolean isOfAppliedEra = watcher.position().era() == view.position().era();
    boolean isIncluded = isInStore(acceptedItem) && isOfAppliedEra;
    boolean needsConfiguration =
        accepted != null && !isIncluded && request.version() < accepted.version();
    StoreFacts facts =
        new StoreFacts(
            needsConfiguration ? Optional.of(acceptedItem) : Optional.empty(),
            changes.isWhole() || request.wantsFacts() ? listing.departuresToShare() : List.of());
    return new StateTransfer(changes, facts);
  }

  /** For how long items have been held that are not in force yet, milliseconds. */
  long pendingMillis() {
    return view.isFullyApplied() ? 0 : clockMillis.getAsLong() - pendingSinceMillis;
  }

  /** Time since the position of the held items last advanced, milliseconds. */
  long sinceAdvanceMillis() {
    return clockMillis.getAsLong() - advancedMillis;
  }

  /** Number of items of the store that were refused since the start. */
  long refusedItemCount() {
    return validator.refusedCount();
  }

  /** Number of items held. */
  synchronized int itemCount() {
    return watcher.items().size();
  }

  /** Length of the values of the items held, characters. */
  synchronized long valueCharacters() {
    return watcher.items().stream().mapToLong(item -> item.value().length()).sum();
  }

  /** Version of the configuration in the store; -1 before the first. */
  long storeVersion() {
    return storeVersion;
  }

  private boolean isInStore(StoreItem item) {
    return item == storeConfigurationItem;
  }

  /** Applies the items again when entries kept after a store restore are due to be dropped. */
  synchronized void applyIfDue() {
    if (listing.isUpdateDue(clockMillis.getAsLong())) {
      applyItems("time");
    }
  }

  /** Applies the watcher's items after they have changed. */
  void refresh(String source) {
    activeRefreshes.incrementAndGet();
    try {
      // Parsed before taking the lock, which the timer and state requests of peers wait for.
      configurationItem().ifPresent(configurations::read);
      applyItems(source);
    } finally {
      activeRefreshes.decrementAndGet();
    }
  }

  /**
   * Whether items have been held for a while that nothing is applying, since an exception or error
   * ended the attempt.
   */
  boolean isRefreshOverdue() {
    return pendingMillis() >= REFRESH_RETRY_MILLIS && activeRefreshes.get() == 0;
  }

  private synchronized Optional<StoreItem> configurationItem() {
    return watcher.items().stream()
        .filter(item -> parser.isConfigurationKey(item.key()))
        .findFirst();
  }

  private synchronized void applyItems(String source) {
    List<StoreItem> items = watcher.items();
    if (configurationItem().isEmpty()) {
      storeConfigurationItem = null;
    }
    RoutingTable table = view.routingTable();
    List<StoredEntry> entries = new ArrayList<>();
    Set<String> evacuated = new HashSet<>();
    for (StoreItem item : items) {
      if (parser.isConfigurationKey(item.key())) {
        handleStoreConfiguration(item, source);
      } else if (parser.isBackendKey(item.key())) {
        validator
            .backendEntry(item)
            .peek(entry -> entries.add(new StoredEntry(entry, item.revision())));
      } else {
        parser.evacuatedZone(item.key()).ifPresent(evacuated::add);
      }
    }
    validator.retain(new HashSet<>(items));
    if (accepted != view.configuration()) {
      table = configurations.routingTable(accepted);
    }
    BackendDirectory backends = view.backends();
    EffectiveListing resolved =
        resolveBackends(new StoreView(watcher.position(), entries, evacuated), source);
    if (!backends.isBuiltFrom(resolved.entries(), resolved.evacuatedZones())) {
      // An unchanged directory is kept, and with it what is derived from it, such as peer views.
      backends = new BackendDirectory(resolved.entries(), resolved.evacuatedZones());
      events.backendsChanged(view.backends(), backends, watcher.position(), source);
    }
    view = new MeshView(accepted, table, backends, watcher.position(), watcher.position());
  }

  private EffectiveListing resolveBackends(StoreView storeContent, String source) {
    int keptBefore = listing.retainedEntryCount();
    EffectiveListing resolved =
        listing.update(clockMillis.getAsLong(), storeContent, this::isKnownService);
    StorePosition before = view.position();
    if (before.isKnown() && before.era() != storeContent.position().era()) {
      events.storeEraBegan(before, storeContent.position(), source, listing.retainedEntryCount());
    } else if (keptBefore > 0 && listing.retainedEntryCount() == 0) {
      events.storeEraSettled(storeContent.position(), keptBefore);
    }
    return resolved;
  }

  private boolean isKnownService(String name) {
    return accepted == null || accepted.services().containsKey(name);
  }

  /** Handles the store's configuration, which is applied unless a newer one was accepted. */
  private void handleStoreConfiguration(StoreItem item, String source) {
    if (item.equals(storeConfigurationItem)) {
      return;
    }
    OptionalLong version = acceptIfNewer(item, source);
    // Only now: an item whose parsing was interrupted by an error is to be parsed again.
    storeConfigurationItem = item;
    storeVersion = version.orElse(storeVersion);
    if (version.isPresent() && version.getAsLong() < accepted.version()) {
      events.configurationOlder(accepted.version(), storeVersion, item.revision(), source);
    }
  }

  /**
   * Accepts the configuration of an item if it is newer than the accepted one.
   *
   * @return its version; empty if it cannot be parsed
   */
  private OptionalLong acceptIfNewer(StoreItem item, String source) {
    Either<String, RoutingConfiguration> parsed = configurations.read(item);
    if (parsed.isLeft()) {
      events.configurationRefused(item.revision(), parsed.getLeft(), source);
      return OptionalLong.empty();
    }
    RoutingConfiguration configuration = parsed.get();
    if (accepted == null || configuration.version() > accepted.version()) {
      accepted = configuration;
      acceptedItem = item;
      events.configurationTaken(configuration, item.revision(), source);
    }
    return OptionalLong.of(configuration.version());
  }
}
