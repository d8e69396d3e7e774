package io.umberpath.node.cli;

import io.umberpath.api.v1.ReformRequest;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Re-forms a fleet that lost its quorum. */
final class ReformCommand extends OperatorCommand {
  @Option(
      name = "--accept-loss",
      metaVar = "IP:PORT",
      usage = "member whose memory is given up; may be repeated. Changes only it holds are lost")
  private List<String> acceptedLoss = new ArrayList<>();

  @Option(name = "--yes", usage = "needed, because accepted changes may be lost")
  private boolean confirmed;

  @Override
  ExitCode run(Output output) throws UsageException {
    if (!confirmed) {
      throw new UsageException("accepted changes may be lost; say --yes if that is meant");
    }
    ReformRequest request = ReformRequest.newBuilder().addAllAcceptedLoss(acceptedLoss).build();
    return print(
        output,
        change(server -> server.reform(request)),
        response -> "re-formed at version " + Names.version(response.getVersion()));
  }
}
