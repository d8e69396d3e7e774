package io.umberpath.node.mesh;

import io.umberpath.traffic.routing.RoutingTable;
import java.util.function.Supplier;

/**
 * Parses a large example configuration once, so that the JIT compiler has compiled the parser
 * before the first real one. With interpreted code, the first large configuration takes many times
 * as long.
 */
final class ConfigurationWarmUp {
  /** Rules of the example: enough for the parser to be compiled. */
  static final int EXAMPLE_RULES = 300;

  private final StoreItemParser parser;
  private final Supplier<MeshView> view;
  private final MeshEvents events;

  ConfigurationWarmUp(StoreItemParser parser, Supplier<MeshView> view, MeshEvents events) {
    this.parser = parser;
    this.view = view;
    this.events = events;
  }

  /** Starts a thread for the warm-up, which takes too long for a task of the timer. */
  void start() {
    MeshTask.WARM_UP
        .newThread(() -> events.runGuarded(MeshTask.WARM_UP, this::parseExample))
        .start();
  }

  /** Parses the example unless a large configuration has already been parsed. */
  void parseExample() {
    MeshView current = view.get();
    boolean hasParsedLarge =
        current.isComplete() && current.configuration().rules().size() >= EXAMPLE_RULES;
    if (!hasParsedLarge) {
      RoutingTable.of(parser.parseExample(EXAMPLE_RULES));
    }
  }
}
