package io.umberpath.node.cli;

import io.umberpath.api.v1.ExplainRequest;
import io.umberpath.api.v1.RequestSubject;
import org.kohsuke.args4j.Option;

/** Explains how a request is routed or what the result of a change was. */
final class ExplainCommand extends OperatorCommand {
  /** Default host; matched only by routes for any host unless a route has this host name. */
  private static final String UNNAMED_HOST = "any";

  @Option(name = "--host", metaVar = "HOST", usage = "host of a request (default: any)")
  private String host = UNNAMED_HOST;

  @Option(name = "--path", metaVar = "PATH", usage = "path of a request, beginning with /")
  private String path;

  @Option(name = "--request-id", metaVar = "ID", usage = "request id of a change")
  private String requestId;

  @Override
  ExitCode run(Output output) throws UsageException {
    if ((path == null) == (requestId == null)) {
      throw new UsageException("give either --path or --request-id");
    }
    ExplainRequest request =
        requestId != null
            ? ExplainRequest.newBuilder().setRequestId(requestId).build()
            : ExplainRequest.newBuilder()
                .setRequest(RequestSubject.newBuilder().setHost(host).setPath(path))
                .build();
    return print(output, read(server -> server.explain(request)), ResponseFormatter::explanation);
  }
}
