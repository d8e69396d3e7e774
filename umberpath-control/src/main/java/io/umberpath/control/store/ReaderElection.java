package io.umberpath.control.store;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Decides whether this node reads the store for its zone. The highest-ranked nodes do; a
 * lower-ranked node yields only while they report that their calls were answered recently, or that
 * they fail. A node that is wrongly relied on therefore costs the zone only a bounded time. The
 * owner synchronizes access.
 */
public final class ReaderElection {
  /** Maximum number of nodes of each kind that a log line names. */
  private static final int MAX_LOGGED_NODES = 4;

  /**
   * The decision and its inputs.
   *
   * @param isReader whether this node must call the store
   * @param rankedBefore the nodes that rank before this one, in rank order
   * @param calling those of them that report that they call it
   * @param required number of nodes of the zone that must call it
   */
  public record Decision(
      boolean isReader, List<String> rankedBefore, List<String> calling, int required) {
    /** The inputs of the decision for a log line, limited to the first few nodes of each kind. */
    public String inputs() {
      return "due: %d, ahead: %d %s, of them call: %d %s"
          .formatted(
              required, rankedBefore.size(), first(rankedBefore), calling.size(), first(calling));
    }

    private static List<String> first(List<String> nodes) {
      return nodes.subList(0, Math.min(MAX_LOGGED_NODES, nodes.size()));
    }
  }

  private final String self;
  private final long takeoverStepMillis;
  private boolean isReading;
  private long missingSinceMillis = -1;

  /**
   * Creates an election in which this node does not read yet.
   *
   * @param self this node
   * @param takeoverStepMillis delay from one node's takeover to that of the next in rank, so that
   *     they do not all take over at once
   */
  public ReaderElection(String self, long takeoverStepMillis) {
    this.self = self;
    this.takeoverStepMillis = takeoverStepMillis;
  }

  /**
   * Re-evaluates the decision.
   *
   * @param others the other reachable nodes of the zone
   * @param calling those of them that report that they call the store
   * @param refused nodes to whose calls the store did not respond recently, possibly including this
   *     one
   * @param zones number of zones that have nodes, including this node's zone
   * @param detectionMillis time within which a node's report that it calls the store has arrived
   */
  public Decision decide(
      long nowMillis,
      Collection<String> others,
      Set<String> calling,
      Set<String> refused,
      int zones,
      long detectionMillis) {
    List<String> rankedBefore = StoreReaders.rankedBefore(self, others, refused);
    int required = StoreReaders.readersPerZone(zones);
    List<String> callingAhead = rankedBefore.stream().filter(calling::contains).toList();
    int surplus = rankedBefore.size() - required;
    if (surplus < 0) {
      setReader(true);
    } else if (callingAhead.size() >= required) {
      setReader(false);
    } else if (!isReading) {
      takeOverIfDue(nowMillis, detectionMillis + surplus * takeoverStepMillis);
    }
    return new Decision(isReading, rankedBefore, callingAhead, required);
  }

  private void setReader(boolean isReader) {
    isReading = isReader;
    missingSinceMillis = -1;
  }

  private void takeOverIfDue(long nowMillis, long delayMillis) {
    if (missingSinceMillis < 0) {
      missingSinceMillis = nowMillis;
    }
    if (nowMillis >= missingSinceMillis + delayMillis) {
      setReader(true);
    }
  }
}
