package io.umberpath.control;

import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import java.util.List;

/**
 * Settings of one control node.
 *
 * @param self this process; its slot is {@link Member#NO_SLOT}
 * @param seeds addresses to contact when no other node is known
 * @param initialMembers number of distinct nodes that must be seen before a new fleet forms: all
 *     expected nodes
 * @param quorum rule that defines a quorum
 * @param batchWindowMillis how long a leader batches changes before it proposes them; 0 proposes
 *     immediately
 * @param heartbeatMillis interval of the leader's heartbeats
 * @param parentStallMillis silence after which a child looks for another parent
 * @param electionMillis silence after which a node starts requesting votes; the actual value is
 *     randomized between one and two times this value
 * @param fanout preferred number of children of a relay
 * @param maxChildren number of children that a relay accepts before it redirects others
 * @param maxReaders maximum number of nodes in the fleet that read the platform at the same time
 * @param readMillis interval at which a reader reads the platform
 * @param maxQueuedChanges number of operator changes that a leader queues per tier before it
 *     refuses more
 * @param rememberedChanges number of completed operator changes that the register remembers
 */
public record ControlSettings(
    Member self,
    List<PeerAddress> seeds,
    int initialMembers,
    QuorumRule quorum,
    long batchWindowMillis,
    long heartbeatMillis,
    long parentStallMillis,
    long electionMillis,
    int fanout,
    int maxChildren,
    int maxReaders,
    long readMillis,
    int maxQueuedChanges,
    int rememberedChanges) {
  /** Rule that defines a quorum. */
  public enum QuorumRule {
    /** More than half of the members. */
    MAJORITY,
    /** More than half of the zones, each with more than half of its members. */
    ZONE_MAJORITY
  }
}
