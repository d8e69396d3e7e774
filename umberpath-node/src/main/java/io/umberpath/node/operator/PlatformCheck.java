package io.umberpath.node.operator;

import io.umberpath.model.ChangeSet;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Pool;
import io.umberpath.model.Resource;
import io.umberpath.model.Violation;
import java.util.ArrayList;
import java.util.List;

/**
 * Refuses pools of services that the platform does not have. Such a pool would be agreed on and
 * then keep every newer version of every tenant from coming into force.
 */
final class PlatformCheck {
  private PlatformCheck() {}

  /**
   * Pools whose service is missing.
   *
   * @param document what this node holds; nothing is checked while it holds none
   */
  static List<Violation> violations(ChangeSet change, PlatformDocument document) {
    List<Violation> violations = new ArrayList<>();
    if (document.revision() == PlatformDocument.NONE.revision()) {
      return violations;
    }
    for (int index = 0; index < change.upserts().size(); index++) {
      Resource resource = change.upserts().get(index);
      if (resource instanceof Pool pool && !document.services().containsKey(pool.service())) {
        violations.add(
            new Violation(
                "upserts[" + index + "].service",
                pool.service(),
                "not in platform document " + document.revision()));
      }
    }
    return violations;
  }
}
