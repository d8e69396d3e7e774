package io.umberpath.node.cli;

import io.umberpath.node.logs.LogLine;
import java.time.Instant;
import java.util.Locale;

/** What log lines of requests can be grouped by. */
enum GroupKey {
  /** The second that a line covers. */
  SECOND,
  /** Zone of the node. */
  ZONE,
  /** Node that wrote the line. */
  NODE,
  /** Route of the requests. */
  ROUTE;

  /** Returns the value of a line. */
  String of(Instant second, LogLine line) {
    return switch (this) {
      case SECOND -> second.toString();
      case ZONE -> line.field("zone");
      case NODE -> line.node();
      case ROUTE -> line.field("route");
    };
  }

  /** Returns the name as on the command line. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the key of a name; fails if there is none. */
  static GroupKey parse(String name) throws UsageException {
    for (GroupKey key : values()) {
      if (key.label().equals(name)) {
        return key;
      }
    }
    throw new UsageException("--by: unknown " + name + "; allowed: second, zone, node, route");
  }
}
