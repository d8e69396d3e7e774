package io.umberpath.node.cli;

import io.umberpath.node.settings.NodeSettings;
import io.umberpath.node.settings.SettingsLoader;
import io.umberpath.node.settings.SettingsOverrides;
import io.umberpath.node.settings.SettingsProblem;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;

/** A subcommand that reads a settings file and overriding flags. */
abstract class SettingsCommand extends Command {
  @Option(name = "--address", metaVar = "IP:PORT", usage = "where it listens for other nodes")
  private String address;

  @Option(name = "--zone", metaVar = "ZONE", usage = "failure domain of the machine")
  private String zone;

  @Option(name = "--region", metaVar = "REGION", usage = "group of zones")
  private String region;

  @Option(
      name = "--seed",
      metaVar = "IP:PORT",
      usage = "node to try when nothing else is known; may be repeated, replaces the file's list")
  private List<String> seeds = new ArrayList<>();

  @Option(name = "--edge-port", metaVar = "PORT", usage = "callers' port; 0 any free, -1 none")
  private String edgePort;

  @Option(name = "--hop-port", metaVar = "PORT", usage = "port for calls from other nodes")
  private String hopPort;

  @Option(name = "--operator-port", metaVar = "PORT", usage = "operators' gRPC port")
  private String operatorPort;

  @Option(name = "--admin-port", metaVar = "PORT", usage = "metrics and health port")
  private String adminPort;

  @Option(name = "--platform", metaVar = "URL", usage = "URL of the platform's document")
  private String platform;

  @Option(name = "--backend", metaVar = "ID=IP:PORT", usage = "the back end beside this node")
  private String backend;

  @Option(
      name = "--set",
      metaVar = "FIELD=VALUE",
      usage = "any field of the settings file, its value in YAML; may be repeated")
  private List<String> fields = new ArrayList<>();

  /** Returns the settings file to read. */
  abstract String file();

  /** Runs the subcommand with valid settings. */
  abstract ExitCode run(NodeSettings settings, Output output);

  /** Loads the settings and runs the subcommand, or prints every problem. */
  @Override
  final ExitCode run(Output output) throws UsageException {
    Either<List<SettingsProblem>, NodeSettings> settings =
        SettingsLoader.load(Path.of(file()), new SettingsOverrides(overrides()));
    return settings.fold(problems -> reportProblems(problems, output), found -> run(found, output));
  }

  private ExitCode reportProblems(List<SettingsProblem> problems, Output output) {
    output.err().println(file() + ": " + problems.size() + " problem(s)");
    problems.forEach(problem -> output.err().println("  " + problem));
    return ExitCode.USAGE;
  }

  private List<SettingsOverrides.Override> overrides() throws UsageException {
    List<SettingsOverrides.Override> overrides = new ArrayList<>();
    add(overrides, "node.address", address);
    add(overrides, "node.zone", zone);
    add(overrides, "node.region", region);
    if (!seeds.isEmpty()) {
      String list = seeds.stream().map(SettingsCommand::quote).collect(Collectors.joining(", "));
      overrides.add(new SettingsOverrides.Override("node.seeds", "[" + list + "]"));
    }
    add(overrides, "proxy.edgePort", edgePort);
    add(overrides, "proxy.hopPort", hopPort);
    add(overrides, "operator.port", operatorPort);
    add(overrides, "admin.port", adminPort);
    add(overrides, "platform.url", platform);
    if (backend != null) {
      String[] parts = split("--backend", backend);
      add(overrides, "proxy.backend.id", parts[0]);
      add(overrides, "proxy.backend.address", parts[1]);
    }
    for (String field : fields) {
      String[] parts = split("--set", field);
      overrides.add(new SettingsOverrides.Override(parts[0], parts[1]));
    }
    return overrides;
  }

  private static String[] split(String option, String text) throws UsageException {
    String[] parts = text.split("=", 2);
    if (parts.length != 2 || parts[0].isBlank()) {
      throw new UsageException(option + " '" + text + "' must hold an =");
    }
    return parts;
  }

  private static void add(
      List<SettingsOverrides.Override> overrides, String field, String plainText) {
    if (plainText != null) {
      overrides.add(new SettingsOverrides.Override(field, quote(plainText)));
    }
  }

  /** Quotes the text as a YAML scalar. */
  private static String quote(String text) {
    return "'" + text.replace("'", "''") + "'";
  }
}
