package io.umberpath.transport;

import java.util.ArrayList;
import java.util.List;

/** Collects actions while a lock is held and runs them in order after its release. */
final class DeferredActions {
  private final List<Runnable> actions = new ArrayList<>();

  void add(Runnable action) {
    actions.add(action);
  }

  void run() {
    actions.forEach(Runnable::run);
  }
}
