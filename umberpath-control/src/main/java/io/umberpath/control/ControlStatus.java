package io.umberpath.control;

import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import java.util.List;
import java.util.Optional;

/**
 * What one control node believes.
 *
 * @param self this process, with its slot once it is a member
 * @param role its part now
 * @param epoch highest epoch it promised
 * @param leader the leader it last heard of
 * @param parent where it gets its deliveries from
 * @param children how many nodes get theirs from it
 * @param committed the newest state known to be committed
 * @param heldVersion the newest state it holds, committed or not
 * @param activeVersion agreed version of the snapshot in force
 * @param activeRevision platform revision of the snapshot in force
 * @param document newest platform document it holds
 * @param reader whether it reads the platform now
 * @param compositionViolations why the newest pair does not compose, if so
 * @param nodes per-member view; complete at the leader, empty elsewhere
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
  /** Part a node plays in agreement. */
  public enum Role {
    /** Not a member yet, or restarted and not readmitted: no vote, no calls. */
    JOINING,
    /** Accepts and relays. */
    FOLLOWER,
    /** Asks for votes. */
    CANDIDATE,
    /** Orders changes. */
    LEADER
  }

  /**
   * A member as the leader last heard of it.
   *
   * @param member the member
   * @param reachable whether it was heard within the stall time
   * @param held version it holds
   * @param active version in force in it
   * @param revision platform revision in force in it
   */
  public record NodeView(
      Member member, boolean reachable, Version held, Version active, long revision) {}
}
