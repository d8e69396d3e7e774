package io.umberpath.lab.demo;

import java.io.PrintStream;
import java.util.List;

/** What a run claims; each claim is printed with its verdict. Not thread-safe. */
final class Statements {
  private final PrintStream out;
  private int failed;

  Statements(PrintStream out) {
    this.out = out;
  }

  /** Claims something; the detail is printed with it. */
  void claim(boolean holds, String statement, String detail) {
    out.printf("  %-6s %s (%s)%n", holds ? "true" : "FALSE", statement, detail);
    if (!holds) {
      failed++;
    }
  }

  /** Claims that nothing was found. */
  void claimNone(List<String> found, String statement) {
    claim(found.isEmpty(), statement, found.isEmpty() ? "none" : found.size() + ": " + found);
  }

  boolean allTrue() {
    return failed == 0;
  }
}
