package io.umberpath.node.cli;

import io.umberpath.api.v1.ListRequest;
import io.umberpath.api.v1.ListResponse;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Lists resources, fetching all pages. */
final class ListCommand extends OperatorCommand {
  @Argument(metaVar = "KIND", usage = "route, pool or secret (default: all)")
  private String kind;

  @Option(
      name = "--page-size",
      metaVar = "N",
      usage = "resources asked for at a time (default: 100)")
  private int pageSize = 100;

  @Override
  ExitCode run(Output output) throws UsageException {
    ListRequest.Builder request = ListRequest.newBuilder().setPageSize(pageSize);
    if (kind != null) {
      request.setKind(Names.kind(kind));
    }
    var resources = read(server -> allPages(server::list, request));
    return print(
        output,
        resources,
        list ->
            list.getResourcesCount() == 0
                ? "no resources"
                : list.getResourcesList().stream()
                    .map(ResponseFormatter::resource)
                    .collect(Collectors.joining("\n")));
  }

  private static ListResponse allPages(
      Function<ListRequest, ListResponse> list, ListRequest.Builder request) {
    ListResponse.Builder all = ListResponse.newBuilder();
    ListResponse page;
    do {
      page = list.apply(request.build());
      all.addAllResources(page.getResourcesList()).setVersion(page.getVersion());
      request.setPageToken(page.getNextPageToken());
    } while (!page.getNextPageToken().isEmpty());
    return all.build();
  }
}
