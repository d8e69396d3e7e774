package io.umberpath.node.mesh;

import io.umberpath.traffic.quarantine.SuspectReport;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Distributes the reports about requests that crash backends: new ones to all nodes at once, and
 * all of them to a node whose reported digest differs. Thread-safe.
 */
final class SuspectExchange {
  /** Least interval between two full transfers to the same node, milliseconds. */
  private static final long FULL_SYNC_INTERVAL_MILLIS = 1_000;

  /** Most nodes that get a full transfer within that interval. */
  private static final int MAX_FULL_SYNCS_PER_INTERVAL = 8;

  /** Sends datagrams to nodes. */
  interface Sender {
    void send(List<byte[]> datagrams, Collection<String> hosts);
  }

  private final RequestQuarantine quarantine;
  private final Supplier<Collection<String>> peers;
  private final Sender sender;
  private final LongSupplier clockMillis;

  /** Times of the full transfers in the last interval, by host; guarded by this object's lock. */
  private final Map<String, Long> fullSyncMillis = new HashMap<>();

  SuspectExchange(
      RequestQuarantine quarantine,
      Supplier<Collection<String>> peers,
      Sender sender,
      LongSupplier clockMillis) {
    this.quarantine = quarantine;
    this.peers = peers;
    this.sender = sender;
    this.clockMillis = clockMillis;
  }

  /** Sends new reports to all other nodes. */
  void sendUnsent() {
    List<SuspectReport> unsent = quarantine.drainUnsent();
    if (!unsent.isEmpty()) {
      sender.send(SuspectMessage.encode(clockMillis.getAsLong(), unsent), peers.get());
    }
  }

  /** Handles the digest that another node advertised for its suspect reports. */
  void digestReceived(String host, long digest) {
    if (digest == quarantine.digest()) {
      return;
    }
    List<SuspectReport> all = quarantine.allReports();
    long now = clockMillis.getAsLong();
    if (!all.isEmpty() && tryStartFullSync(host, now)) {
      sender.send(SuspectMessage.encode(now, all), List.of(host));
    }
  }

  private synchronized boolean tryStartFullSync(String host, long nowMillis) {
    fullSyncMillis.values().removeIf(at -> at + FULL_SYNC_INTERVAL_MILLIS <= nowMillis);
    boolean isAllowed =
        fullSyncMillis.size() < MAX_FULL_SYNCS_PER_INTERVAL && !fullSyncMillis.containsKey(host);
    if (isAllowed) {
      fullSyncMillis.put(host, nowMillis);
    }
    return isAllowed;
  }
}
