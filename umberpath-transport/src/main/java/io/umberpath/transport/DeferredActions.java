package io.umberpath.transport;

import java.util.ArrayList;
import java.util.List;

/** Work that is decided with a lock held and done after its release, in order. */
final class DeferredActions {
  private final List<Runnable> actions = new ArrayList<>();

  void add(Runnable action) {
    actions.add(action);
  }

  void run() {
    actions.forEach(Runnable::run);
  }
}
