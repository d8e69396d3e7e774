package io.umberpath.control;

import io.umberpath.control.ControlMessage.ObservedUpdate;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Distributes observations of backends along the relay tree in both directions. The last writer
 * wins, by incarnation and counter. Changes are batched briefly and a message carries a bounded
 * number of them, so that a burst costs bounded bytes per second; only the newest observation of
 * each backend is queued.
 */
final class ObservationDistributor {
  private static final long FLUSH_MILLIS = 200;
  private static final int MAX_PER_FLUSH = 256;

  private final NodeContext context;
  private final Map<String, Entry> entriesByArrival = new LinkedHashMap<>();
  private final Map<String, PeerAddress> sourceByPendingId = new LinkedHashMap<>();
  private long flushAt = Long.MAX_VALUE;

  private record Entry(ObservedBackend backend, long arrivedAt) {}

  ObservationDistributor(NodeContext context) {
    this.context = context;
  }

  /** Handles a change of this node's local backend. */
  void onLocalChange(ObservedBackend backend) {
    store(backend, context.address());
  }

  /** Handles observations from a neighbour; returns those that were newer. */
  List<ObservedBackend> onUpdate(PeerAddress from, List<ObservedBackend> backends) {
    List<ObservedBackend> newer = new ArrayList<>();
    for (ObservedBackend backend : backends) {
      if (store(backend, from)) {
        newer.add(backend);
      }
    }
    return newer;
  }

  private boolean store(ObservedBackend backend, PeerAddress from) {
    Entry known = entriesByArrival.get(backend.backendId());
    if (known != null && !backend.supersedes(known.backend)) {
      return false;
    }
    entriesByArrival.remove(backend.backendId());
    entriesByArrival.put(backend.backendId(), new Entry(backend, context.now()));
    sourceByPendingId.put(backend.backendId(), from);
    flushAt = Math.min(flushAt, context.now() + FLUSH_MILLIS);
    return true;
  }

  /** Sends the queued observations, each to every neighbour except the one it came from. */
  void flush(Optional<PeerAddress> parent, Collection<PeerAddress> children) {
    if (context.now() < flushAt) {
      return;
    }
    List<Map.Entry<String, PeerAddress>> batch = new ArrayList<>();
    for (Map.Entry<String, PeerAddress> entry : sourceByPendingId.entrySet()) {
      if (batch.size() < MAX_PER_FLUSH) {
        batch.add(Map.entry(entry.getKey(), entry.getValue()));
      }
    }
    batch.forEach(entry -> sourceByPendingId.remove(entry.getKey()));
    parent.ifPresent(peer -> send(peer, batch));
    children.forEach(peer -> send(peer, batch));
    flushAt = sourceByPendingId.isEmpty() ? Long.MAX_VALUE : context.now() + FLUSH_MILLIS;
  }

  private void send(PeerAddress peer, List<Map.Entry<String, PeerAddress>> batch) {
    List<ObservedBackend> backends = new ArrayList<>();
    for (Map.Entry<String, PeerAddress> entry : batch) {
      if (!entry.getValue().equals(peer)) {
        backends.add(entriesByArrival.get(entry.getKey()).backend);
      }
    }
    if (!backends.isEmpty()) {
      context.send(peer, new ObservedUpdate(backends));
    }
  }

  /**
   * Sends a new neighbour the observations that it missed.
   *
   * @param missedMillis how long it had no neighbour, milliseconds; negative to send all
   *     observations
   */
  void sendMissed(PeerAddress peer, long missedMillis) {
    long slack = FLUSH_MILLIS + context.settings().parentStallMillis();
    long since = missedMillis < 0 ? Long.MIN_VALUE : context.now() - missedMillis - slack;
    List<ObservedBackend> missed = new ArrayList<>();
    for (Entry entry : entriesByArrival.values()) {
      if (entry.arrivedAt >= since) {
        missed.add(entry.backend);
      }
    }
    if (!missed.isEmpty()) {
      context.send(peer, new ObservedUpdate(missed));
    }
  }

  /** When {@link #flush} is due. */
  long nextAt() {
    return flushAt;
  }
}
