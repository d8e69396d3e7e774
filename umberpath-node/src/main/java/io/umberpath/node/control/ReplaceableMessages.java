package io.umberpath.node.control;

import io.umberpath.control.ControlMessage;
import java.util.function.Predicate;

/**
 * Matches messages that a later one from the same sender supersedes, so that dropping one only
 * delays progress: reports without joins, deliveries without state deltas, and attach requests.
 */
final class ReplaceableMessages implements Predicate<ControlMessage> {
  @Override
  public boolean test(ControlMessage message) {
    if (message instanceof ControlMessage.Report report) {
      return report.joins().isEmpty();
    }
    if (message instanceof ControlMessage.Deliver delivery) {
      return delivery.deltas().isEmpty();
    }
    return message instanceof ControlMessage.Attach;
  }
}
