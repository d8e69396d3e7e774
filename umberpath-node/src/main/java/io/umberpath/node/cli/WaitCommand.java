package io.umberpath.node.cli;

import io.umberpath.api.v1.WaitRequest;
import io.umberpath.api.v1.WaitResponse;
import org.kohsuke.args4j.Argument;

/** Waits until a version is active on all members. */
final class WaitCommand extends OperatorCommand {
  @Argument(
      required = true,
      metaVar = "VERSION",
      usage = "version that apply printed, such as 3.17")
  private String version;

  @Override
  ExitCode run(Output output) throws UsageException {
    WaitRequest request = WaitRequest.newBuilder().setVersion(Names.version(version)).build();
    return print(output, read(server -> server.wait(request)), WaitCommand::text);
  }

  static String text(WaitResponse response) {
    return "in force in all "
        + response.getNodes()
        + " members; the oldest version in force is "
        + Names.version(response.getVersion());
  }
}
