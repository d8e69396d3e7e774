package io.umberpath.node.mesh;

import io.umberpath.control.store.BackendListing;
import io.umberpath.control.store.BackendListing.Believed;
import io.umberpath.control.store.BackendListing.Listed;
import io.umberpath.control.store.BackendListing.Shown;
import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreAnswer;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.routing.RoutingTable;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * What this node has taken from the store or from other nodes. A configuration is only replaced by
 * one with a higher version, and taken whole or not at all. Thread-safe; readers never wait.
 */
final class MeshState {
  private final StoreDocuments documents;
  private final ConfigurationReader configurations;
  private final StoreWatcher watcher;
  private final MeshEvents events;

  /** The items that are back ends' entries; empty where one names none. */
  private final Map<StoreItem, Optional<BackendEntry>> parsedEntries = new HashMap<>();

  private final BackendListing listing = new BackendListing();
  private final LongSupplier clockMillis;

  /** The configuration's item that the store shows; null before the first. */
  private StoreItem storeConfigurationItem;

  private volatile long storeVersion = -1;

  /** The newest configuration that was accepted, which holds whatever the store shows; or null. */
  private RoutingConfiguration accepted;

  /** The item that it was read from; null before the first. */
  private StoreItem acceptedItem;

  private volatile MeshView view = MeshView.EMPTY;
  private volatile Runnable adoptedListener = () -> {};

  /**
   * Creates a state that holds nothing.
   *
   * @param clockMillis rising clock, milliseconds
   */
  MeshState(
      StoreDocuments documents, StoreWatcher watcher, MeshEvents events, LongSupplier clockMillis) {
    this.documents = documents;
    this.configurations = new ConfigurationReader(documents);
    this.watcher = watcher;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /** What this node believes now. */
  MeshView view() {
    return view;
  }

  /** The watcher; guarded by this object's lock. */
  StoreWatcher watcher() {
    return watcher;
  }

  /** What became of a transfer. */
  enum Adoption {
    /** This node holds something newer now. */
    ADOPTED,
    /** It led no further than this node was. */
    NOT_NEWER,
    /** A patch did not fit what this node holds: of the store's items nothing was taken. */
    PATCH_MISMATCH
  }

  /** Is told when items of another node are held, before they are in force. */
  void onAdopted(Runnable listener) {
    adoptedListener = listener;
  }

  /** Takes what of another node's state leads further than this node is. */
  Adoption adopt(StateTransfer transfer, String peer) {
    final MeshView before = view;
    boolean factsChanged;
    StoreWatcher.Adoption adoption;
    synchronized (this) {
      applyBeforeNewEra(transfer.changes().at().era());
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
    if (adoption == StoreWatcher.Adoption.UNFIT) {
      return Adoption.PATCH_MISMATCH;
    }
    MeshView now = view;
    boolean isNewer = now.version() > before.version() || now.position().isAfter(before.position());
    return isNewer ? Adoption.ADOPTED : Adoption.NOT_NEWER;
  }

  /** What an older copy of the store does not show has to be known before it is taken. */
  private void applyBeforeNewEra(long newEra) {
    if (!view.isFullyApplied() && newEra != watcher.at().era()) {
      applyItems("a new era");
    }
  }

  /**
   * Notes how far the watcher is.
   *
   * @param isChanged whether its items have changed, which are put in force next
   */
  private void updateHeldPosition(boolean isChanged) {
    boolean isApplied = !isChanged && view.isFullyApplied();
    view = isApplied ? view.withPosition(watcher.at()) : view.withHeldPosition(watcher.at());
  }

  /**
   * Takes an answer of the store.
   *
   * @return whether it led further; {@link #refresh} is to follow then
   */
  synchronized boolean handleResponse(long nowMillis, StoreAnswer answer) {
    answer.era().ifPresent(this::applyBeforeNewEra);
    StorePosition before = watcher.at();
    boolean isChanged = watcher.answered(nowMillis, answer);
    boolean hasAdvanced = isChanged || !watcher.at().equals(before);
    if (hasAdvanced) {
      updateHeldPosition(true);
    }
    return hasAdvanced;
  }

  private boolean mergeFacts(StoreFacts facts, String peer) {
    boolean departuresChanged = listing.learn(clockMillis.getAsLong(), facts.departed());
    RoutingConfiguration before = accepted;
    facts.configuration().ifPresent(item -> acceptIfNewer(item, peer));
    return departuresChanged || accepted != before;
  }

  /** What this node holds, for another one to carry on from. */
  synchronized StateRequest stateRequest() {
    return watcher.request();
  }

  /** What another node lacks, with what holds whatever the store shows. */
  synchronized StateTransfer transferFor(TransferRequest request) {
    StoreChanges changes = watcher.changesSince(request.state());
    // Items that are not in force yet may be an older copy's.
    boolean isOfAppliedEra = watcher.at().era() == view.position().era();
    boolean isIncluded = isInStore(acceptedItem) && isOfAppliedEra;
    boolean needsConfiguration =
        accepted != null && !isIncluded && request.version() < accepted.version();
    StoreFacts facts =
        new StoreFacts(
            needsConfiguration ? Optional.of(acceptedItem) : Optional.empty(),
            changes.isWhole() || request.wantsFacts() ? listing.told() : List.of());
    return new StateTransfer(changes, facts);
  }

  /** Version of the configuration that the store shows; -1 before the first. */
  long storeVersion() {
    return storeVersion;
  }

  private boolean isInStore(StoreItem item) {
    return item == storeConfigurationItem;
  }

  /** Time alone may change what is believed of an older copy of the store. */
  synchronized void applyIfDue() {
    if (listing.isDue(clockMillis.getAsLong())) {
      applyItems("time");
    }
  }

  /** The watcher's items have changed. */
  void refresh(String source) {
    // Read before the lock is taken, which the timer and other nodes' requests for state wait for.
    configurationItem().ifPresent(configurations::read);
    applyItems(source);
  }

  private synchronized Optional<StoreItem> configurationItem() {
    return watcher.items().stream()
        .filter(item -> documents.isConfiguration(item.key()))
        .findFirst();
  }

  private synchronized void applyItems(String source) {
    List<StoreItem> items = watcher.items();
    RoutingTable table = view.table();
    List<Listed> entries = new ArrayList<>();
    Set<String> evacuated = new HashSet<>();
    for (StoreItem item : items) {
      if (documents.isConfiguration(item.key())) {
        handleStoreConfiguration(item, source);
      } else if (documents.isBackend(item.key())) {
        backendEntry(item).ifPresent(entry -> entries.add(new Listed(entry, item.revision())));
      } else {
        documents.evacuatedZone(item.key()).ifPresent(evacuated::add);
      }
    }
    parsedEntries.keySet().retainAll(new HashSet<>(items));
    if (accepted != view.configuration()) {
      table = configurations.routingTable(accepted);
    }
    BackendDirectory backends = view.backends();
    Believed resolved = resolveBackends(new Shown(watcher.at(), entries, evacuated), source);
    if (!backends.isBuiltFrom(resolved.entries(), resolved.evacuatedZones())) {
      // Else what others made of the directory, such as who reports to whom, stays as it is.
      backends = new BackendDirectory(resolved.entries(), resolved.evacuatedZones());
      events.backendsChanged(view.backends(), backends, watcher.at(), source);
    }
    view = new MeshView(accepted, table, backends, watcher.at(), watcher.at());
  }

  private Believed resolveBackends(Shown storeContent, String source) {
    int keptBefore = listing.keptEntries();
    Believed resolved = listing.update(clockMillis.getAsLong(), storeContent, this::isKnownService);
    StorePosition before = view.position();
    if (before.isKnown() && before.era() != storeContent.at().era()) {
      events.storeEraBegan(before, storeContent.at(), source, listing.keptEntries());
    } else if (keptBefore > 0 && listing.keptEntries() == 0) {
      events.storeEraSettled(storeContent.at(), keptBefore);
    }
    return resolved;
  }

  private boolean isKnownService(String name) {
    return accepted == null || accepted.services().containsKey(name);
  }

  /** The store shows a configuration: it is in force unless a newer one was accepted before. */
  private void handleStoreConfiguration(StoreItem item, String source) {
    if (item.equals(storeConfigurationItem)) {
      return;
    }
    storeConfigurationItem = item;
    OptionalLong version = acceptIfNewer(item, source);
    storeVersion = version.orElse(storeVersion);
    if (version.isPresent() && version.getAsLong() < accepted.version()) {
      events.configurationOlder(accepted.version(), storeVersion, item.revision(), source);
    }
  }

  /**
   * Takes an item's configuration if it is newer than the accepted one.
   *
   * @return its version; empty if it cannot be read
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

  private Optional<BackendEntry> backendEntry(StoreItem item) {
    return parsedEntries.computeIfAbsent(item, this::parseBackend);
  }

  private Optional<BackendEntry> parseBackend(StoreItem item) {
    Either<String, BackendEntry> parsed = documents.backend(item);
    if (parsed.isLeft()) {
      events.backendRefused(item.key(), item.revision(), parsed.getLeft());
    }
    return parsed.toJavaOptional();
  }
}
