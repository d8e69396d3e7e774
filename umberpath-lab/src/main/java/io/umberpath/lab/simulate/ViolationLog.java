package io.umberpath.lab.simulate;

import java.util.ArrayList;
import java.util.List;

/** Collects violations; a simulation stops soon after the first. */
final class ViolationLog {
  private static final int MOST_KEPT = 20;

  private final EventQueue queue;
  private final List<InvariantViolation> found = new ArrayList<>();

  ViolationLog(EventQueue queue) {
    this.queue = queue;
  }

  void add(String invariant, String detail) {
    if (found.size() < MOST_KEPT) {
      found.add(new InvariantViolation(invariant, detail, queue.nowNanos()));
    }
  }

  boolean isEmpty() {
    return found.isEmpty();
  }

  List<InvariantViolation> found() {
    return List.copyOf(found);
  }
}
