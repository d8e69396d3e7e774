package io.umberpath.node.operator;

import io.umberpath.model.ChangeSet;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Pool;
import io.umberpath.model.Resource;
import io.umberpath.model.Violation;
import java.util.ArrayList;
import java.util.List;

/**
 * Rejects pools whose service is not in the platform document. Once committed, such a pool would
 * block the activation of every newer version for all tenants.
 */
final class PlatformCheck {
  private PlatformCheck() {}

  /**
   * Returns a violation for each pool whose service is missing.
   *
   * @param document this node's platform document; nothing is checked while there is none
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
