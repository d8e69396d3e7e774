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
  private static final int NAMED_NODES = 4;

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
      return nodes.subList(0, Math.min(NAMED_NODES, nodes.size()));
    }
  }

  private final String self;
  private final long roundMillis;
  private boolean reads;
  private long lackingSinceMillis = -1;

  /**
   * Creates an election in which this node does not read yet.
   *
   * @param self this node
   * @param roundMillis time in which one node after another takes over, so that not all do at once
   */
  public ReaderElection(String self, long roundMillis) {
    this.self = self;
    this.roundMillis = roundMillis;
  }

  /**
   * Decides anew.
   *
   * @param others the other nodes of the zone that are in reach
   * @param calling those of them that say that they call the store
   * @param refused nodes that the store did not answer lately, this one included
   * @param zones zones that have nodes, the own one included
   * @param noticeMillis within what time a node that calls has been heard to say so
   */
  public Decision decide(
      long nowMillis,
      Collection<String> others,
      Set<String> calling,
      Set<String> refused,
      int zones,
      long noticeMillis) {
    List<String> ahead = StoreReaders.ahead(self, others, refused);
    int due = StoreReaders.readersPerZone(zones);
    List<String> callers = ahead.stream().filter(calling::contains).toList();
    int surplus = ahead.size() - due;
    if (surplus < 0) {
      settle(true);
    } else if (callers.size() >= due) {
      settle(false);
    } else if (!reads) {
      takeOverIfDue(nowMillis, noticeMillis + surplus * roundMillis);
    }
    return new Decision(reads, ahead, callers, due);
  }

  private void settle(boolean isReader) {
    reads = isReader;
    lackingSinceMillis = -1;
  }

  private void takeOverIfDue(long nowMillis, long afterMillis) {
    if (lackingSinceMillis < 0) {
      lackingSinceMillis = nowMillis;
    }
    if (nowMillis >= lackingSinceMillis + afterMillis) {
      settle(true);
    }
  }
}
