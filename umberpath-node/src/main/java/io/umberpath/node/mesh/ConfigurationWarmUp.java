package io.umberpath.node.mesh;

import io.umberpath.traffic.routing.RoutingTable;
import java.util.function.Supplier;

/**
 * Reads an example of a large configuration once. A process that has only read small ones reads its
 * first large one with code that is not compiled yet, which takes many times as long.
 */
final class ConfigurationWarmUp {
  /** Rules of the example, by which the code is compiled. */
  static final int EXAMPLE_RULES = 300;

  private final StoreDocuments documents;
  private final Supplier<MeshView> view;
  private final MeshEvents events;

  ConfigurationWarmUp(StoreDocuments documents, Supplier<MeshView> view, MeshEvents events) {
    this.documents = documents;
    this.view = view;
    this.events = events;
  }

  /** Begins in a thread of its own, since it takes longer than a timer's task may. */
  void start() {
    Thread thread = new Thread(this::run, "umberpath-warm-up");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      parseExample();
    } catch (RuntimeException fault) {
      events.fault("warm-up", fault);
    }
  }

  /** Reads the example unless a large configuration has been read. */
  void parseExample() {
    MeshView current = view.get();
    boolean hasParsedLarge =
        current.isComplete() && current.configuration().rules().size() >= EXAMPLE_RULES;
    if (!hasParsedLarge) {
      RoutingTable.of(documents.readExample(EXAMPLE_RULES));
    }
  }
}
