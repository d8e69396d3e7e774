package io.umberpath.lab;

import io.umberpath.lab.platform.PlatformCommand;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** The registry of subcommands. */
final class LabCommands {
  private static final List<Entry> ENTRIES =
      List.of(
          new Entry(
              "platform",
              "serve a platform document, with faults on demand",
              PlatformCommand::new));

  private LabCommands() {}

  /**
   * A subcommand.
   *
   * @param name what the user types
   * @param summary one line of help
   * @param factory makes a fresh command for the options to be parsed into
   */
  record Entry(String name, String summary, Supplier<LabCommand> factory) {}

  static List<Entry> all() {
    return ENTRIES;
  }

  static Optional<Entry> find(String name) {
    return ENTRIES.stream().filter(entry -> entry.name().equals(name)).findFirst();
  }
}
