package io.umberpath.control.store;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Whether this node calls the store for its zone. The nodes that rank first do; a node leaves it to
 * them only while they say that their calls were answered lately, or that they fail. So a node that
 * is wrongly waited for costs the zone a bounded time. Owner synchronizes.
 */
public final class ReaderElection {
  /** Most nodes of a kind that a log line names. */
  private static final int MAX_LOGGED_NODES = 4;

  /**
   * Outcome, and what it was decided from.
   *
   * @param reads whether this node is to call the store
   * @param ahead the nodes that rank before this one, first ones first
   * @param calling those of them that say that they call it
   * @param due how many nodes of the zone are to call it
   */
  public record Decision(boolean reads, List<String> ahead, List<String> calling, int due) {
    /** What it was decided from, for a log line: the first few nodes of each kind. */
    public String inputs() {
      return "due: %d, ahead: %d %s, of them call: %d %s"
          .formatted(due, ahead.size(), first(ahead), calling.size(), first(calling));
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
   * @param takeoverStepMillis time in which one node after another takes over, so that not all do
   *     at once
   */
  public ReaderElection(String self, long takeoverStepMillis) {
    this.self = self;
    this.takeoverStepMillis = takeoverStepMillis;
  }

  /**
   * Decides anew.
   *
   * @param others the other nodes of the zone that are in reach
   * @param calling those of them that say that they call the store
   * @param refused nodes that the store did not answer lately, this one included
   * @param zones zones that have nodes, the own one included
   * @param detectionMillis within what time a node that calls has been heard to say so
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
