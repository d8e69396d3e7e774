package io.umberpath.node.mesh;

import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The latest report of each other node. Thread-safe. */
final class PeerReports {
  /** Reports older than this say nothing any more, milliseconds: well past all silence times. */
  private static final long MAX_AGE_MILLIS = 10_000;

  /**
   * A report and when the node made it, on this node's clock.
   *
   * @param encoded the same, to be passed on
   * @param stamp which report of the node it is
   * @param madeAtMillis when it was made, as far as known
   */
  record ReceivedReport(
      PeerReport report, EncodedReport encoded, PeerMessage.Stamp stamp, long madeAtMillis) {
    /**
     * Whether another report of the node is later. The same one may come several ways, each with a
     * delay of its own, so that within a run of the node only its own count tells.
     */
    private boolean isOlderThan(PeerMessage.Stamp otherStamp, long otherMadeAtMillis) {
      return stamp.incarnation() == otherStamp.incarnation()
          ? otherStamp.sequence() > stamp.sequence()
          : otherMadeAtMillis > madeAtMillis;
    }
  }

  private final Map<String, ReceivedReport> byHost = new HashMap<>();

  /**
   * Takes a report, unless it or a later one is known.
   *
   * @param madeAtMillis when it was made, as far as known
   * @return the report if it is news
   * @throws IOException if it cannot be read
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

  /** Drops what is too old. */
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

  /** The contact with the store that nodes state: none, unless one of them calls it. */
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
   * One that reaches the store before one that does not; of two alike the later, so that entries
   * may be missing for as long as either of them says.
   */
  private static StoreContact preferred(StoreContact first, StoreContact second) {
    if (first.reachable() != second.reachable()) {
      return first.reachable() ? first : second;
    }
    return first.sinceMillis() >= second.sinceMillis() ? first : second;
  }
}
