package io.umberpath.node.operator;

import io.umberpath.api.v1.GetRequest;
import io.umberpath.api.v1.GetResponse;
import io.umberpath.api.v1.Kind;
import io.umberpath.api.v1.ListRequest;
import io.umberpath.api.v1.ListResponse;
import io.umberpath.model.FleetState;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import io.umberpath.model.Violation;
import io.umberpath.node.control.ControlService;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Handles reads of the tenant's resources from the committed state. Thread-safe. */
final class ReadHandler {
  static final int DEFAULT_PAGE_SIZE = 100;
  static final int MAX_PAGE_SIZE = 1_000;

  private final ControlService control;

  ReadHandler(ControlService control) {
    this.control = control;
  }

  /** Returns one resource, secrets without value; not found if it belongs to another tenant. */
  Either<OperatorError, GetResponse> get(Principal principal, GetRequest request) {
    Optional<ResourceKind> kind = ResourceCodec.kind(request.getKey().getKind());
    if (kind.isEmpty()) {
      return Either.left(
          OperatorError.invalid(
              "key.kind",
              Integer.toString(request.getKey().getKindValue()),
              "must be a known kind"));
    }
    ResourceKey key = new ResourceKey(kind.get(), request.getKey().getName());
    FleetState state = control.status().committed();
    return state
        .resources()
        .get(key)
        .filter(resource -> resource.tenant().equals(principal.tenant()))
        .toEither(() -> OperatorError.notFound(key + " does not exist in this tenant"))
        .map(
            resource ->
                GetResponse.newBuilder()
                    .setResource(ResourceCodec.resource(resource))
                    .setVersion(ResourceCodec.version(state.version()))
                    .build());
  }

  /** Returns one page of the tenant's resources by key order; reports every invalid field. */
  Either<OperatorError, ListResponse> list(Principal principal, ListRequest request) {
    Optional<ResourceKind> kind = ResourceCodec.kind(request.getKind());
    List<Violation> violations = new ArrayList<>();
    if (kind.isEmpty() && request.getKind() != Kind.KIND_UNSPECIFIED) {
      violations.add(
          new Violation("kind", Integer.toString(request.getKindValue()), "must be a known kind"));
    }
    int size = request.getPageSize() == 0 ? DEFAULT_PAGE_SIZE : request.getPageSize();
    if (size < 1 || size > MAX_PAGE_SIZE) {
      violations.add(
          new Violation("page_size", Integer.toString(size), "must be 1 to " + MAX_PAGE_SIZE));
    }
    Optional<PageToken> token = PageToken.decode(request.getPageToken());
    boolean first = request.getPageToken().isEmpty();
    if (!first && token.filter(found -> found.listed().equals(kind)).isEmpty()) {
      violations.add(
          new Violation(
              "page_token",
              request.getPageToken(),
              "must be the next_page_token of a list of the same kind"));
    }
    if (!violations.isEmpty()) {
      return Either.left(OperatorError.invalid(violations));
    }
    return Either.right(page(principal, kind, size, first ? Optional.empty() : token));
  }

  private ListResponse page(
      Principal principal, Optional<ResourceKind> kind, int size, Optional<PageToken> token) {
    FleetState state = control.status().committed();
    ListResponse.Builder page =
        ListResponse.newBuilder().setVersion(ResourceCodec.version(state.version()));
    ResourceKey last = null;
    for (Resource resource : state.resources().values()) {
      boolean isIncluded =
          resource.tenant().equals(principal.tenant())
              && kind.map(resource.key().kind()::equals).orElse(true)
              && token.map(from -> resource.key().compareTo(from.after()) > 0).orElse(true);
      if (!isIncluded) {
        continue;
      }
      if (page.getResourcesCount() == size) {
        return page.setNextPageToken(new PageToken(kind, last).encode()).build();
      }
      page.addResources(ResourceCodec.resource(resource));
      last = resource.key();
    }
    return page.build();
  }
}
