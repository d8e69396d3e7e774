package io.umberpath.control;

import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import java.util.List;
import java.util.Optional;

/**
 * State of one control node, as known to it.
 *
 * @param self this process, with its slot once it is a member
 * @param role its current role
 * @param epoch highest epoch it promised
 * @param leader the last known leader
 * @param parent the node from which it receives deliveries
 * @param children number of nodes that receive deliveries from it
 * @param committed the newest state known to be committed
 * @param heldVersion the newest state it holds, committed or not
 * @param activeVersion agreed version of the snapshot in force
 * @param activeRevision platform revision of the snapshot in force
 * @param document newest platform document it holds
 * @param reader whether it currently reads the platform
 * @param compositionViolations reasons why the newest pair does not compose; empty if it does
 * @param nodes per-member view; complete at the leader, empty on other nodes
 */
public record ControlStatus(
    Member self,
    Role role,
    long epoch,
    Optional<Member> leader,
    Optional<Member> parent,
    int children,
    FleetState committed,
    Version heldVersion,
    Version activeVersion,
    long activeRevision,
    PlatformDocument document,
    boolean reader,
    List<Violation> compositionViolations,
    List<NodeView> nodes) {
  /** Role of a node in the agreement protocol. */
  public enum Role {
    /** Not a member yet, or restarted and not readmitted: neither votes nor starts elections. */
    JOINING,
    /** Accepts states and relays them. */
    FOLLOWER,
    /** Requests votes. */
    CANDIDATE,
    /** Orders and commits changes. */
    LEADER
  }

  /**
   * A member as last reported to the leader.
   *
   * @param member the member
   * @param reachable whether it reported within the stall timeout
   * @param held version it holds
   * @param active version in force in it
   * @param revision platform revision in force in it
   */
  public record NodeView(
      Member member, boolean reachable, Version held, Version active, long revision) {}
}
