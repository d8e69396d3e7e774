package io.umberpath.lab.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The figures of one run, printed as they come. Not thread-safe. */
final class BenchReport {
  private final PrintStream out;
  private final String profile;
  private final List<Figure> figures = new ArrayList<>();
  private final List<String> brokenPromises = new ArrayList<>();

  /** Form of the JSON file. */
  record Document(
      String profile, int processors, List<Figure> figures, List<String> brokenPromises) {}

  BenchReport(PrintStream out, String profile) {
    this.out = out;
    this.profile = profile;
    out.printf("%-58s %12s %-8s %10s%n", "figure", "value", "unit", "limit");
  }

  void add(Figure figure) {
    figures.add(figure);
    String limit =
        figure.limit().isPresent()
            ? String.format(Locale.ROOT, "%.2f", figure.limit().getAsDouble())
            : "-";
    out.printf(
        Locale.ROOT,
        "%-58s %12.2f %-8s %10s %s%n",
        figure.name(),
        figure.value(),
        figure.unit(),
        limit,
        figure.isWithin() ? "" : "OVER");
    if (figure.promise() && !figure.isWithin()) {
      brokenPromises.add(figure.name() + " = " + figure.value());
    }
  }

  /** Records findings that must not exist. */
  void addBroken(List<String> findings) {
    brokenPromises.addAll(findings);
  }

  List<String> brokenPromises() {
    return List.copyOf(brokenPromises);
  }

  void write(Path file) throws IOException {
    ObjectMapper mapper = new ObjectMapper().registerModule(new Jdk8Module());
    int processors = Runtime.getRuntime().availableProcessors();
    Document document = new Document(profile, processors, figures, brokenPromises);
    mapper.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), document);
  }
}
