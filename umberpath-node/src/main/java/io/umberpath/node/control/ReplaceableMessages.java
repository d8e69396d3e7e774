package io.umberpath.node.control;

import io.umberpath.control.ControlMessage;
import java.util.function.Predicate;

/**
 * Messages that a later one of the same sender replaces, so that losing one costs only time:
 * reports that carry no joins, deliveries that carry no states, and requests to attach.
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
