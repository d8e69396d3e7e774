package io.umberpath.node.cli;

import io.umberpath.api.v1.DrainRequest;
import java.util.UUID;
import org.kohsuke.args4j.Option;

/** Starts or ends draining of backends. */
final class DrainCommand extends OperatorCommand {
  @Option(name = "--backend", metaVar = "ID", usage = "back end in the platform's document")
  private String backend;

  @Option(name = "--node", metaVar = "IP[:HOP_PORT]", usage = "all back ends beside this node")
  private String node;

  @Option(name = "--undo", usage = "return to service")
  private boolean undo;

  @Option(name = "--request-id", metaVar = "ID", usage = "names the change (default: a new one)")
  private String requestId = UUID.randomUUID().toString();

  @Override
  ExitCode run(Output output) throws UsageException {
    if ((backend == null) == (node == null)) {
      throw new UsageException("give either --backend or --node");
    }
    DrainRequest.Builder request =
        DrainRequest.newBuilder().setRequestId(requestId).setDraining(!undo);
    if (backend != null) {
      request.setBackendId(backend);
    } else {
      request.setNode(node);
    }
    return print(
        output,
        change(server -> server.drain(request.build())),
        response ->
            "accepted version "
                + Names.version(response.getVersion())
                + (undo ? " returns to service " : " drains ")
                + String.join(", ", response.getBackendIdsList()));
  }
}
