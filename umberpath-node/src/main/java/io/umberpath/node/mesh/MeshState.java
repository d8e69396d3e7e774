package io.umberpath.node.mesh;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.traffic.routing.RoutingTable;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;

/**
 * What this node has taken from the store or from other nodes. A configuration is only replaced by
 * one with a higher version, and taken whole or not at all. Thread-safe; readers never wait.
 */
final class MeshState {
  private final StoreDocuments documents;
  private final StoreWatcher watcher;
  private final MeshEvents events;

  /** The items that are back ends' entries; empty where one names none. */
  private final Map<StoreItem, Optional<BackendEntry>> parsed = new HashMap<>();

  /** The configuration's item that was looked at last; null before the first. */
  private StoreItem seenConfiguration;

  private volatile MeshView view = MeshView.NOTHING;

  MeshState(StoreDocuments documents, StoreWatcher watcher, MeshEvents events) {
    this.documents = documents;
    this.watcher = watcher;
    this.events = events;
  }

  /** What this node believes now. */
  MeshView view() {
    return view;
  }

  /** The watcher; guarded by this object's lock. */
  StoreWatcher watcher() {
    return watcher;
  }

  /**
   * Takes changes of another node that lead further than this node is.
   *
   * @return whether they fit what this node holds; if not, nothing was taken
   */
  synchronized boolean adopt(StoreChanges changes, String peer) {
    StoreWatcher.Adoption adoption = watcher.adopt(changes);
    if (adoption == StoreWatcher.Adoption.CHANGED) {
      refresh(peer);
    } else if (!watcher.at().equals(view.position())) {
      view = new MeshView(view.configuration(), view.table(), view.backends(), watcher.at());
    }
    return adoption != StoreWatcher.Adoption.UNFIT;
  }

  /** What this node holds, for another one to carry on from. */
  synchronized StateRequest request() {
    return watcher.request();
  }

  /** The watcher's items have changed. */
  synchronized void refresh(String source) {
    List<StoreItem> items = watcher.items();
    RoutingConfiguration configuration = view.configuration();
    RoutingTable table = view.table();
    List<Listed> entries = new ArrayList<>();
    Set<String> evacuated = new HashSet<>();
    for (StoreItem item : items) {
      if (documents.isConfiguration(item.key())) {
        configuration = newer(configuration, item, source);
      } else if (documents.isBackend(item.key())) {
        entry(item).ifPresent(entry -> entries.add(new Listed(entry, item.revision())));
      } else {
        documents.evacuatedZone(item.key()).ifPresent(evacuated::add);
      }
    }
    parsed.keySet().retainAll(new HashSet<>(items));
    if (configuration != view.configuration()) {
      table = RoutingTable.of(configuration);
    }
    BackendDirectory backends = view.backends();
    List<BackendEntry> listed = alive(entries, configuration);
    if (!backends.holds(listed, evacuated)) {
      // Else what others made of the directory, such as who reports to whom, stays as it is.
      backends = new BackendDirectory(listed, evacuated);
      events.backendsChanged(view.backends(), backends, watcher.at(), source);
    }
    view = new MeshView(configuration, table, backends, watcher.at());
  }

  /**
   * A back end's entry.
   *
   * @param revision the store's revision when it was written
   */
  private record Listed(BackendEntry entry, long revision) {}

  /**
   * Of two entries at one address only the one that was written last can be alive: the other one
   * has ended, and its entry only stands until its lease runs out. An entry of a service that the
   * configuration does not name is no back end's, and takes no other one's place.
   */
  private static List<BackendEntry> alive(
      List<Listed> entries, RoutingConfiguration configuration) {
    Comparator<Listed> order =
        Comparator.comparing((Listed each) -> isNamed(each.entry().service(), configuration))
            .thenComparingLong(Listed::revision);
    Map<PeerAddress, Listed> byAddress = new HashMap<>();
    for (Listed each : entries) {
      byAddress.merge(each.entry().address(), each, BinaryOperator.maxBy(order));
    }
    return byAddress.values().stream().map(Listed::entry).toList();
  }

  private static boolean isNamed(String service, RoutingConfiguration configuration) {
    return configuration == null || configuration.services().containsKey(service);
  }

  private RoutingConfiguration newer(RoutingConfiguration held, StoreItem item, String source) {
    if (item.equals(seenConfiguration)) {
      return held;
    }
    seenConfiguration = item;
    Either<String, RoutingConfiguration> read = documents.configuration(item);
    if (read.isLeft()) {
      events.configurationRefused(item.revision(), read.getLeft(), source);
      return held;
    }
    if (held != null && read.get().version() <= held.version()) {
      return held;
    }
    events.configurationTaken(read.get(), item.revision(), source);
    return read.get();
  }

  private Optional<BackendEntry> entry(StoreItem item) {
    return parsed.computeIfAbsent(item, this::read);
  }

  private Optional<BackendEntry> read(StoreItem item) {
    Either<String, BackendEntry> read = documents.backend(item);
    if (read.isLeft()) {
      events.backendRefused(item.key(), item.revision(), read.getLeft());
    }
    return read.toJavaOptional();
  }
}
