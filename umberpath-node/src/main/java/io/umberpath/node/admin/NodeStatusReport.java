package io.umberpath.node.admin;

import io.umberpath.control.ControlStatus;
import io.umberpath.model.Violation;
import io.umberpath.node.control.ControlService;
import java.util.List;

/**
 * The response of {@code /status}. Contains no resources and therefore no secrets.
 *
 * @param address where the node listens for other nodes
 * @param incarnation this process at that address
 * @param slot its slot in the roster; -1 if it is not a member
 * @param zone its zone
 * @param region its region
 * @param role its role in the consensus protocol
 * @param epoch highest epoch it promised
 * @param leader address of the last known leader, or empty
 * @param parent address of its parent in the distribution tree, or empty
 * @param children number of its children in the distribution tree
 * @param committed newest committed version
 * @param held newest version held
 * @param active active version
 * @param activeRevision active platform revision
 * @param documentRevision newest platform revision held
 * @param reader whether it reads the platform
 * @param members number of members in the committed roster
 * @param compositionViolations why the newest version and platform revision do not compose
 */
record NodeStatusReport(
    String address,
    long incarnation,
    int slot,
    String zone,
    String region,
    String role,
    long epoch,
    String leader,
    String parent,
    int children,
    String committed,
    String held,
    String active,
    long activeRevision,
    long documentRevision,
    boolean reader,
    int members,
    List<Violation> compositionViolations) {
  static NodeStatusReport of(ControlService control) {
    ControlStatus status = control.status();
    return new NodeStatusReport(
        status.self().address().toString(),
        status.self().incarnation(),
        status.self().slot(),
        status.self().zone(),
        status.self().region(),
        status.role().name(),
        status.epoch(),
        status.leader().map(member -> member.address().toString()).orElse(""),
        status.parent().map(member -> member.address().toString()).orElse(""),
        status.children(),
        status.committed().version().toString(),
        status.heldVersion().toString(),
        status.activeVersion().toString(),
        status.activeRevision(),
        status.document().revision(),
        status.reader(),
        status.committed().roster().size(),
        status.compositionViolations());
  }
}
