package io.umberpath.node.operator;

import static io.umberpath.node.operator.OperatorFixture.ADMINISTRATOR;
import static io.umberpath.node.operator.OperatorFixture.DEALER;
import static io.umberpath.node.operator.OperatorFixture.MARKET;
import static io.umberpath.node.operator.OperatorFixture.change;
import static io.umberpath.node.operator.OperatorFixture.failure;
import static io.umberpath.node.operator.OperatorFixture.pool;
import static io.umberpath.node.operator.OperatorFixture.route;
import static io.umberpath.node.operator.OperatorFixture.secret;
import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.Context;
import io.grpc.Status;
import io.grpc.health.v1.HealthCheckRequest;
import io.grpc.health.v1.HealthCheckResponse.ServingStatus;
import io.grpc.health.v1.HealthGrpc;
import io.grpc.reflection.v1.ServerReflectionGrpc;
import io.grpc.reflection.v1.ServerReflectionRequest;
import io.grpc.reflection.v1.ServerReflectionResponse;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import io.umberpath.api.v1.ConfigurationGrpc;
import io.umberpath.api.v1.ExplainRequest;
import io.umberpath.api.v1.FleetStatusRequest;
import io.umberpath.api.v1.FleetStatusResponse;
import io.umberpath.api.v1.GetRequest;
import io.umberpath.api.v1.Kind;
import io.umberpath.api.v1.ListRequest;
import io.umberpath.api.v1.ListResponse;
import io.umberpath.api.v1.RequestSubject;
import io.umberpath.api.v1.Resource;
import io.umberpath.api.v1.ResourceKey;
import io.umberpath.api.v1.RouteExplanation;
import io.umberpath.api.v1.WaitRequest;
import io.umberpath.api.v1.WatchStatusRequest;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadContractTest {
  private static final Version OLD = new Version(1, 1);
  private static final Version NEW = new Version(1, 2);
  private static final long TIMEOUT_SECONDS = 30;

  private OperatorFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new OperatorFixture();
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private static GetRequest get(Kind kind, String name) {
    return GetRequest.newBuilder()
        .setKey(ResourceKey.newBuilder().setKind(kind).setName(name))
        .build();
  }

  private static WaitRequest waitFor(Version version) {
    return WaitRequest.newBuilder().setVersion(ResourceCodec.version(version)).build();
  }

  @Test
  void secretIsReturnedWithoutItsValueAndOnlyToItsTenant() {
    fixture.as(MARKET).apply(change("r", secret("s", "hunter2")).build());
    Resource read = fixture.as(MARKET).get(get(Kind.KIND_SECRET, "s")).getResource();
    assertThat(read.getSecret().getValue().isEmpty()).isTrue();
    assertThat(fixture.as(MARKET).list(ListRequest.getDefaultInstance()).toString())
        .contains("\"s\"")
        .doesNotContain("hunter2");
    failure(Status.Code.NOT_FOUND, () -> fixture.as(DEALER).get(get(Kind.KIND_SECRET, "s")));
    assertThat(fixture.as(DEALER).list(ListRequest.getDefaultInstance()).getResourcesCount())
        .isZero();
  }

  @Test
  void pagesHoldEachResourceOnce() {
    for (int index = 0; index < 5; index++) {
      fixture.as(MARKET).apply(change("r" + index, pool("p" + index)).build());
    }
    fixture.as(DEALER).apply(change("r", pool("p2-of-dealer")).build());
    fixture.as(MARKET).apply(change("s", secret("s", "value")).build());
    List<String> names = new ArrayList<>();
    ListRequest request = ListRequest.newBuilder().setKind(Kind.KIND_POOL).setPageSize(2).build();
    ListResponse page;
    do {
      page = fixture.as(MARKET).list(request);
      page.getResourcesList().forEach(resource -> names.add(resource.getName()));
      request = request.toBuilder().setPageToken(page.getNextPageToken()).build();
    } while (!page.getNextPageToken().isEmpty());
    assertThat(names).containsExactly("p0", "p1", "p2", "p3", "p4");
  }

  @ParameterizedTest
  @CsvSource({
    "KIND_POOL, -1, '', page_size",
    "KIND_POOL, 1001, '', page_size",
    "KIND_POOL, 1, '!', page_token",
    "KIND_POOL, 1, 'YWJj', page_token",
    "KIND_ROUTE, 1, GOOD, page_token",
    "KIND_UNSPECIFIED, 1, GOOD, page_token",
    "KIND_POOL, 1, DAMAGED, page_token"
  })
  void invalidPageRequestIsRejected(Kind kind, int size, String token, String field) {
    fixture.as(MARKET).apply(change("r", pool("p0"), pool("p1")).build());
    ListRequest first = ListRequest.newBuilder().setKind(Kind.KIND_POOL).setPageSize(1).build();
    String good = fixture.as(MARKET).list(first).getNextPageToken();
    String sent =
        switch (token) {
          case "GOOD" -> good;
          case "DAMAGED" -> good.substring(0, good.length() - 3) + "xyz";
          default -> token;
        };
    ListRequest request =
        ListRequest.newBuilder().setKind(kind).setPageSize(size).setPageToken(sent).build();
    var detail = failure(Status.Code.INVALID_ARGUMENT, () -> fixture.as(MARKET).list(request));
    assertThat(detail.getViolations(0).getField()).isEqualTo(field);
  }

  @Test
  void waitReturnsOnceTheLastMemberIsCurrent() throws Exception {
    fixture.control.nodes =
        List.of(FakeControlService.node(1, NEW), FakeControlService.node(2, OLD));
    var response = CompletableFuture.supplyAsync(() -> fixture.as(MARKET).wait(waitFor(NEW)));
    fixture.control.nodes =
        List.of(FakeControlService.node(1, NEW), FakeControlService.node(2, NEW));
    assertThat(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getNodes()).isEqualTo(2);
    failure(
        Status.Code.INVALID_ARGUMENT,
        () -> fixture.as(MARKET).wait(WaitRequest.getDefaultInstance()));
  }

  @ParameterizedTest
  @CsvSource({"true, 1.2 is not yet in force in 1 of 2 members", "false, no leader answered"})
  void waitReportsMissingMembersAtItsDeadline(boolean leader, String message) throws Exception {
    ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    fixture.control.nodes =
        leader
            ? List.of(FakeControlService.node(1, NEW), FakeControlService.node(2, OLD))
            : List.of();
    FleetHandler handler = new FleetHandler(fixture.control, scheduler);
    var result =
        Context.current()
            .withDeadlineAfter(200, TimeUnit.MILLISECONDS, scheduler)
            .call(() -> handler.waitFor(waitFor(NEW)))
            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    scheduler.shutdownNow();
    assertThat(result.getLeft().code()).isEqualTo(Status.Code.DEADLINE_EXCEEDED);
    assertThat(result.getLeft().detail().getMessage()).contains(message);
  }

  @Test
  void waitCallsAreLimitedAndCancellationReleasesPermits() throws Exception {
    int maxCalls = 128;
    CompletableFuture<Throwable> rejected = new CompletableFuture<>();
    Context.CancellableContext waiting = Context.current().withCancellation();
    Context previous = waiting.attach();
    try {
      for (int call = 0; call <= maxCalls; call++) {
        ConfigurationGrpc.newStub(fixture.channel)
            .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers(MARKET)))
            .wait(waitFor(NEW), new ErrorObserver<>(rejected));
      }
    } finally {
      waiting.detach(previous);
    }
    assertThat(Status.fromThrowable(rejected.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).getCode())
        .isEqualTo(Status.Code.RESOURCE_EXHAUSTED);
    var client = fixture.as(MARKET);
    assertThat(client.list(ListRequest.getDefaultInstance()).getResourcesCount()).isZero();
    waiting.cancel(null);
    fixture.control.nodes = List.of(FakeControlService.node(1, NEW));
    awaitSuccess(() -> client.wait(waitFor(NEW)));
  }

  private static io.grpc.Metadata headers(String token) {
    io.grpc.Metadata headers = new io.grpc.Metadata();
    headers.put(BearerToken.AUTHORIZATION, "Bearer " + token);
    return headers;
  }

  private static void awaitSuccess(Runnable call) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    Status.Code code;
    do {
      code = Status.Code.OK;
      try {
        call.run();
      } catch (io.grpc.StatusRuntimeException failure) {
        code = failure.getStatus().getCode();
      }
    } while (code != Status.Code.OK && System.nanoTime() < end);
    assertThat(code).isEqualTo(Status.Code.OK);
  }

  @Test
  void statusShowsMembersToAdministratorsOnly() {
    fixture.as(MARKET).apply(change("r", pool("p")).build());
    fixture.control.nodes =
        List.of(FakeControlService.node(1, OLD), FakeControlService.node(2, Version.NONE));
    FleetStatusRequest request = FleetStatusRequest.getDefaultInstance();
    FleetStatusResponse all = fixture.as(ADMINISTRATOR).fleetStatus(request);
    assertThat(all.getNodesCount()).isEqualTo(2);
    assertThat(all.getNodes(1).getLag()).isEqualTo(1);
    assertThat(all.getCurrentNodes()).isEqualTo(1);
    FleetStatusResponse own = fixture.as(MARKET).fleetStatus(request);
    assertThat(own.getNodesCount()).isZero();
    assertThat(own.getFleetViewAvailable()).isTrue();
  }

  @Test
  void watchReportsChanges() {
    Iterator<FleetStatusResponse> reports =
        fixture
            .as(MARKET)
            .withDeadlineAfter(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .watchStatus(WatchStatusRequest.newBuilder().setIntervalMillis(100).build());
    assertThat(reports.next().getCommitted().getSequence()).isZero();
    fixture.as(MARKET).apply(change("r", pool("p")).build());
    assertThat(reports.next().getCommitted().getSequence()).isEqualTo(1);
    failure(
        Status.Code.INVALID_ARGUMENT,
        () ->
            fixture
                .as(MARKET)
                .watchStatus(WatchStatusRequest.newBuilder().setIntervalMillis(1).build())
                .next());
  }

  @Test
  void explainReportsTheMatchingRoute() {
    fixture.as(MARKET).apply(change("r", pool("p"), route("q", "/booking", "p")).build());
    fixture.control.reportBackend(
        new ObservedBackend("booking-1", 1, 1, ObservedBackend.Phase.DRAINING, 50));
    RouteExplanation found = explain(MARKET, "/booking/7");
    assertThat(found.getMatched()).isTrue();
    assertThat(found.getRoute().getName()).isEqualTo("q");
    assertThat(found.getBackendsCount()).isEqualTo(2);
    assertThat(found.getReason()).contains("2 back ends, 1 of them may take work");
    assertThat(explain(MARKET, "/bookings").getMatched()).isFalse();
    assertThat(explain(DEALER, "/booking").getMatched()).isFalse();
  }

  @ParameterizedTest
  @CsvSource({
    "token-of-market, 1, pools[p].service",
    "token-of-dealer, 0, resources of other tenants",
    "token-of-administrator, 1, pools[p].service"
  })
  void compositionViolationIsShownToItsOwner(String token, int violationCount, String text) {
    fixture.as(MARKET).apply(change("r", pool("p"), route("q", "/", "p")).build());
    fixture.control.compositionViolations =
        List.of(new Violation("pools[p].service", "booking", "not in platform document 6"));
    FleetStatusResponse status =
        fixture.as(token).fleetStatus(FleetStatusRequest.getDefaultInstance());
    assertThat(status.getCompositionViolationsCount()).isEqualTo(violationCount);
    assertThat(explain(token, "/x").getReason()).contains("not in force", text);
  }

  private RouteExplanation explain(String token, String path) {
    RequestSubject subject = RequestSubject.newBuilder().setHost("any").setPath(path).build();
    ExplainRequest request = ExplainRequest.newBuilder().setRequest(subject).build();
    return fixture.as(token).explain(request).getRoute();
  }

  @Test
  void healthAndReflectionNeedNoToken() throws Exception {
    HealthCheckRequest check =
        HealthCheckRequest.newBuilder().setService(ConfigurationGrpc.SERVICE_NAME).build();
    assertThat(HealthGrpc.newBlockingStub(fixture.channel).check(check).getStatus())
        .isEqualTo(ServingStatus.SERVING);
    CompletableFuture<ServerReflectionResponse> response = new CompletableFuture<>();
    var reflection =
        ServerReflectionGrpc.newStub(fixture.channel)
            .serverReflectionInfo(
                new ErrorObserver<ServerReflectionResponse>(new CompletableFuture<>()) {
                  @Override
                  public void onNext(ServerReflectionResponse value) {
                    response.complete(value);
                  }
                });
    reflection.onNext(ServerReflectionRequest.newBuilder().setListServices("*").build());
    assertThat(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).toString())
        .contains(ConfigurationGrpc.SERVICE_NAME);
    reflection.onCompleted();
  }

  /** Completes a future with the first error. */
  private static class ErrorObserver<T> implements StreamObserver<T> {
    private final CompletableFuture<Throwable> firstError;

    ErrorObserver(CompletableFuture<Throwable> firstError) {
      this.firstError = firstError;
    }

    @Override
    public void onNext(T value) {}

    @Override
    public void onError(Throwable failure) {
      firstError.complete(failure);
    }

    @Override
    public void onCompleted() {}
  }
}
