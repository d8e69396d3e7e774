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

/** A subcommand that reads log files of nodes. */
abstract class LogFilesCommand extends Command {
  /** Passes each log line of a node in the files to the consumer; other lines are skipped. */
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

  /** Uses the file name as the node of a line that has none. */
  private static LogLine withSource(LogLine line, String file) {
    return line.node().isEmpty()
        ? new LogLine(file, line.time(), line.event(), line.fields())
        : line;
  }

  /** Returns all log lines of nodes in the files. */
  static List<LogLine> readAll(List<String> files) throws UsageException {
    List<LogLine> lines = new ArrayList<>();
    read(files, lines::add);
    return lines;
  }
}
