package io.umberpath.control.store;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Whether this node calls the store for its zone. The nodes that rank first do; a node leaves it to
 * them only while they say that they call. So whatever makes a node wrongly wait for another one, a
 * view that differs or a thread that hangs, costs the zone a bounded time: nobody waits for a
 * reader that does not read. Owner synchronizes.
 */
public final class ReaderElection {
  /**
   * Outcome, and what it was decided from.
   *
   * @param reads whether this node is to call the store
   * @param ahead the nodes that rank before this one, first ones first
   * @param calling how many of them say that they call it
   * @param due how many nodes of the zone are to call it
   */
  public record Decision(boolean reads, List<String> ahead, int calling, int due) {
    /** What it was decided from, for a log line; of the nodes ahead only those that are due. */
    public String inputs() {
      List<String> awaited = ahead.subList(0, Math.min(due, ahead.size()));
      return "rank %d of %d due, ahead %s, of whom %d call"
          .formatted(ahead.size() + 1, due, awaited, calling);
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
    int callers = (int) ahead.stream().filter(calling::contains).count();
    int surplus = ahead.size() - due;
    if (surplus < 0) {
      settle(true);
    } else if (callers >= due) {
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
