package io.umberpath.transport;

import java.util.ArrayList;
import java.util.List;

/** Work that is decided with a lock held and done after its release, in order. */
final class Effects {
  private final List<Runnable> steps = new ArrayList<>();

  void add(Runnable step) {
    steps.add(step);
  }

  void run() {
    steps.forEach(Runnable::run);
  }
}
