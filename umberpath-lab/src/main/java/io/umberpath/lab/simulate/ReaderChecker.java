package io.umberpath.lab.simulate;

import java.util.List;

/**
 * Counts nodes that read the platform at one time. Within a part of the fleet whose nodes can reach
 * each other there may be at most the capped number; cut parts cannot know of each other.
 */
final class ReaderChecker {
  private final ViolationLog violations;
  private final int maxReaders;
  private int peak;

  ReaderChecker(ViolationLog violations, int maxReaders) {
    this.violations = violations;
    this.maxReaders = maxReaders;
  }

  void reading(SimulatedNode reader, List<SimulatedNode> nodes, VirtualNetwork network) {
    long part = network.partOf(reader);
    int all = 0;
    int inPart = 0;
    for (SimulatedNode node : nodes) {
      if (node.reads > 0) {
        all++;
        inPart += network.partOf(node) == part ? 1 : 0;
      }
    }
    peak = Math.max(peak, all);
    if (inPart > maxReaders) {
      violations.add("capped-readers", inPart + " nodes of one part read the platform at once");
    }
  }

  int peak() {
    return peak;
  }
}
