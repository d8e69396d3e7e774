package io.umberpath.node.mesh;

import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The latest report of each other node. Thread-safe. */
final class PeerReports {
  /** Age at which reports expire, milliseconds; well above all silence timeouts. */
  private static final long MAX_AGE_MILLIS = 10_000;

  /**
   * A report and when it was made, on this node's clock.
   *
   * @param encoded the encoded report, for forwarding
   * @param stamp identifies the report
   * @param madeAtMillis when it was made, estimated from its age
   */
  record ReceivedReport(
      PeerReport report, EncodedReport encoded, PeerMessage.Stamp stamp, long madeAtMillis) {
    /**
     * Whether another report of the node is newer. A report may arrive by several paths with
     * different delays, so that within an incarnation only the sequence number decides.
     */
    private boolean isOlderThan(PeerMessage.Stamp otherStamp, long otherMadeAtMillis) {
      return stamp.incarnation() == otherStamp.incarnation()
          ? otherStamp.sequence() > stamp.sequence()
          : otherMadeAtMillis > madeAtMillis;
    }
  }

  private final Map<String, ReceivedReport> byHost = new HashMap<>();

  /**
   * Stores a report unless it or a newer one is known.
   *
   * @param madeAtMillis when it was made, estimated from its age
   * @return the report if it is new
   * @throws IOException if it cannot be decoded
   */
  synchronized Optional<PeerReport> accept(PeerMessage.Entry entry, long madeAtMillis)
      throws IOException {
    ReceivedReport previous = byHost.get(entry.host());
    if (previous != null && !previous.isOlderThan(entry.stamp(), madeAtMillis)) {
      return Optional.empty();
    }
    PeerReport report = entry.report().decode();
    byHost.put(
        entry.host(), new ReceivedReport(report, entry.report(), entry.stamp(), madeAtMillis));
    return Optional.of(report);
  }

  /** Removes expired reports. */
  synchronized void removeExpired(long nowMillis) {
    byHost.values().removeIf(received -> received.madeAtMillis() + MAX_AGE_MILLIS < nowMillis);
  }

  synchronized Map<String, ReceivedReport> ofHosts(Collection<String> hosts) {
    Map<String, ReceivedReport> chosen = new HashMap<>();
    for (String host : hosts) {
      ReceivedReport received = byHost.get(host);
      if (received != null) {
        chosen.put(host, received);
      }
    }
    return chosen;
  }

  /** The best contact with the store among some nodes; empty if none of them calls the store. */
  synchronized Optional<StoreContact> storeContact(Predicate<String> includesHost) {
    StoreContact best = null;
    for (Map.Entry<String, ReceivedReport> entry : byHost.entrySet()) {
      ReportedContact reported = entry.getValue().report().storeContact();
      if (reported.state() != ReportedContact.State.NONE && includesHost.test(entry.getKey())) {
        StoreContact contact = reported.toStoreContact(entry.getValue().madeAtMillis());
        best = best == null ? contact : preferred(best, contact);
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Prefers a contact that reaches the store. Of two in the same state it takes the later one, so
   * that entries count as possibly missing for as long as either contact allows.
   */
  private static StoreContact preferred(StoreContact first, StoreContact second) {
    if (first.reachable() != second.reachable()) {
      return first.reachable() ? first : second;
    }
    return first.sinceMillis() >= second.sinceMillis() ? first : second;
  }
}
