package io.umberpath.node.cli;

import io.umberpath.api.v1.GetRequest;
import io.umberpath.api.v1.ResourceKey;
import org.kohsuke.args4j.Argument;

/** Shows one resource. */
final class GetCommand extends OperatorCommand {
  @Argument(index = 0, required = true, metaVar = "KIND", usage = "route, pool or secret")
  private String kind;

  @Argument(index = 1, required = true, metaVar = "NAME", usage = "name of the resource")
  private String name;

  @Override
  ExitCode run(Output output) throws UsageException {
    ResourceKey key = ResourceKey.newBuilder().setKind(Names.kind(kind)).setName(name).build();
    GetRequest request = GetRequest.newBuilder().setKey(key).build();
    return print(
        output,
        read(server -> server.get(request)),
        response -> ResponseFormatter.resource(response.getResource()));
  }
}
