package io.umberpath.node.mesh;

import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Meters of what this node holds of the store, and of its exchange with other nodes. */
final class StateMeters {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final MeshState state;
  private final StatePuller puller;
  private final List<StateServer> servers;
  private final Predicate<String> isReachable;
  private final LongSupplier clockMillis;

  /**
   * Creates the meters.
   *
   * @param isReachable whether a node is heard
   */
  StateMeters(
      MeshState state,
      StatePuller puller,
      List<StateServer> servers,
      Predicate<String> isReachable,
      LongSupplier clockMillis) {
    this.state = state;
    this.puller = puller;
    this.servers = servers;
    this.isReachable = isReachable;
    this.clockMillis = clockMillis;
  }

  /** Returns the value suppliers by gauge name without the prefix. */
  Map<String, Supplier<Number>> gauges() {
    return Map.ofEntries(
        Map.entry("configuration.version", () -> state.view().version()),
        Map.entry("configuration.shown.version", state::storeVersion),
        Map.entry("configuration.pending.seconds", () -> toSeconds(state.pendingMillis())),
        Map.entry("state.stuck.seconds", () -> toSeconds(puller.stuckMillis(isReachable))),
        Map.entry("state.items", state::itemCount),
        Map.entry("state.value.characters", state::valueCharacters),
        Map.entry(
            "state.connections",
            () -> servers.stream().mapToInt(StateServer::connectionCount).sum()),
        Map.entry("state.connections.oldest.seconds", () -> toSeconds(oldestConnectionMillis())),
        Map.entry("store.revision", () -> state.view().position().revision()),
        Map.entry("store.era", () -> state.view().position().era()),
        Map.entry("store.heard.age.seconds", this::storeAgeSeconds));
  }

  /** Returns suppliers of totals by counter name without the prefix. */
  Map<String, Supplier<Number>> counters() {
    return Map.of(
        "store.items.refused",
        state::refusedItemCount,
        "state.requests.served",
        () -> servers.stream().mapToLong(StateServer::servedCount).sum(),
        "state.requests.dropped",
        () -> servers.stream().mapToLong(StateServer::droppedCount).sum());
  }

  private long oldestConnectionMillis() {
    return servers.stream().mapToLong(StateServer::oldestConnectionMillis).max().orElse(0);
  }

  private double storeAgeSeconds() {
    long heardAt;
    synchronized (state) {
      heardAt = state.watcher().lastResponseMillis();
    }
    return heardAt < 0 ? -1 : toSeconds(clockMillis.getAsLong() - heardAt);
  }

  private static double toSeconds(long millis) {
    return millis / MILLIS_PER_SECOND;
  }
}
