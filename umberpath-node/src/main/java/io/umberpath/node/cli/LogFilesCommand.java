package io.umberpath.node.cli;

import io.umberpath.node.logs.LogLine;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A command that reads the logs of nodes. */
abstract class LogFilesCommand extends Command {
  /** Hands over each line of the files that a node wrote. */
  static void read(List<String> files, Consumer<LogLine> onLine) throws UsageException {
    for (String file : files) {
      try (BufferedReader lines =
          Files.newBufferedReader(Path.of(file), StandardCharsets.ISO_8859_1)) {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          Optional<LogLine> parsed = LogLine.read(line);
          parsed.map(each -> withSource(each, file)).ifPresent(onLine);
        }
      } catch (IOException unreadable) {
        throw new UsageException("FILE " + file + " cannot be read");
      }
    }
  }

  /** A line that does not say where it is from is from its file. */
  private static LogLine withSource(LogLine line, String file) {
    return line.node().isEmpty()
        ? new LogLine(file, line.time(), line.event(), line.fields())
        : line;
  }

  /** All lines of the files that a node wrote. */
  static List<LogLine> readAll(List<String> files) throws UsageException {
    List<LogLine> lines = new ArrayList<>();
    read(files, lines::add);
    return lines;
  }
}
