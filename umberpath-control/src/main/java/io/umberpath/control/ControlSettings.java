package io.umberpath.control;

import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import java.util.List;

/**
 * Settings of one control node.
 *
 * @param self this process; its slot is {@link Member#NO_SLOT}
 * @param seeds addresses to try when nothing else is known
 * @param initialMembers how many distinct nodes must be seen before a new fleet forms; all expected
 * @param quorum which sets of members may decide
 * @param batchWindowMillis how long a leader gathers changes before it proposes; 0 proposes at once
 * @param heartbeatMillis interval of the leader's heartbeats
 * @param parentStallMillis silence after which a child changes its parent
 * @param electionMillis silence after which a node first asks for votes; the actual value is spread
 *     between one and two times this
 * @param fanout children a relay prefers to have
 * @param maxChildren children a relay accepts before it redirects
 * @param maxReaders nodes that may read the platform at one time, fleet-wide
 * @param readMillis interval at which a reader reads the platform
 * @param maxQueuedChanges operator changes a leader queues per tier before it refuses
 * @param rememberedChanges answered operator changes the register remembers
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
  /** Which rule decides what a quorum is. */
  public enum QuorumRule {
    /** More than half of the members. */
    MAJORITY,
    /** More than half of the zones, each with more than half of its members. */
    ZONE_MAJORITY
  }
}
