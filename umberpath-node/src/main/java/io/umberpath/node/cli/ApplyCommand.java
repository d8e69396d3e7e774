package io.umberpath.node.cli;

import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.api.v1.ApplyResponse;
import io.umberpath.api.v1.WaitRequest;
import io.umberpath.node.settings.SettingsLoader;
import io.umberpath.node.settings.SettingsProblem;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import org.kohsuke.args4j.Option;

/** Applies a change file. */
final class ApplyCommand extends OperatorCommand {
  private static final String STANDARD_INPUT = "-";

  @Option(
      name = "-f",
      aliases = {"--file"},
      metaVar = "FILE",
      required = true,
      usage = "change file in YAML, - for standard input")
  private String file;

  @Option(
      name = "--request-id",
      metaVar = "ID",
      usage =
          "names the change, so that it can be repeated safely (default: from the file, or new)")
  private String requestId;

  @Option(name = "--wait", usage = "also wait until the change is in force everywhere")
  private boolean waitUntilInForce;

  @Override
  ExitCode run(Output output) throws UsageException {
    Either<List<SettingsProblem>, ApplyRequest> parsed =
        text().mapLeft(List::of).flatMap(text -> ChangeFile.parse(text, directory()));
    if (parsed.isLeft()) {
      output.err().println("not run: " + file + " is refused");
      parsed.getLeft().forEach(problem -> output.err().println("  " + problem));
      return ExitCode.USAGE;
    }
    ApplyRequest request = withRequestId(parsed.get());
    Either<CallFailure, ApplyResponse> result = change(server -> server.apply(request));
    ExitCode exitCode =
        print(
            output,
            result,
            accepted ->
                "accepted version "
                    + Names.version(accepted.getVersion())
                    + " request-id "
                    + request.getRequestId());
    if (exitCode == ExitCode.MAY_HAVE_RUN) {
      output.err().println("repeat it safely with --request-id " + request.getRequestId());
    }
    if (exitCode != ExitCode.OK || !waitUntilInForce) {
      return exitCode;
    }
    WaitRequest wait = WaitRequest.newBuilder().setVersion(result.get().getVersion()).build();
    ExitCode waited = print(output, read(server -> server.wait(wait)), WaitCommand::text);
    if (waited == ExitCode.OK) {
      return waited;
    }
    // The change was accepted, so an exit code that means "not run" would be wrong.
    output.err().println("the change was accepted; only the wait for it ended early");
    return ExitCode.MAY_HAVE_RUN;
  }

  private ApplyRequest withRequestId(ApplyRequest request) {
    if (requestId != null) {
      return request.toBuilder().setRequestId(requestId).build();
    }
    return request.getRequestId().isEmpty()
        ? request.toBuilder().setRequestId(UUID.randomUUID().toString()).build()
        : request;
  }

  private Path directory() {
    return file.equals(STANDARD_INPUT) ? Path.of("") : Path.of(file).toAbsolutePath().getParent();
  }

  private Either<SettingsProblem, String> text() {
    if (!file.equals(STANDARD_INPUT)) {
      return SettingsLoader.read(Path.of(file));
    }
    try {
      return Either.right(new String(System.in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException unreadable) {
      return Either.left(new SettingsProblem(1, "file", file, "standard input cannot be read"));
    }
  }
}
