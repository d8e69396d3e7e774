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

import io.grpc.Status;
import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.api.v1.DrainRequest;
import io.umberpath.api.v1.ErrorDetail;
import io.umberpath.api.v1.ExplainRequest;
import io.umberpath.api.v1.FleetStatusRequest;
import io.umberpath.api.v1.Kind;
import io.umberpath.api.v1.Outcome;
import io.umberpath.api.v1.ReformRequest;
import io.umberpath.api.v1.Resource;
import io.umberpath.api.v1.ResourceKey;
import io.umberpath.api.v1.Tier;
import io.umberpath.api.v1.Violation;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeResult.RefusalCode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class ChangeContractTest {
  private OperatorFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new OperatorFixture();
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  static Stream<Arguments> badAuthorizations() {
    return Stream.of(
        Arguments.of((Object) new String[] {}),
        Arguments.of((Object) new String[] {"Bearer unknown"}),
        Arguments.of((Object) new String[] {"Bearer "}),
        Arguments.of((Object) new String[] {MARKET}),
        Arguments.of((Object) new String[] {"Basic " + MARKET}),
        Arguments.of((Object) new String[] {"Bearer " + "x".repeat(2_000)}),
        Arguments.of((Object) new String[] {"Bearer " + MARKET, "Bearer " + DEALER}));
  }

  @ParameterizedTest
  @MethodSource("badAuthorizations")
  void callWithoutKnownTokenIsUnauthenticated(String[] authorization) {
    var client = fixture.withAuthorization(authorization);
    ErrorDetail detail =
        failure(Status.Code.UNAUTHENTICATED, () -> client.apply(change("r", pool("p")).build()));
    assertThat(detail.getOutcome()).isEqualTo(Outcome.OUTCOME_NOT_RUN);
    assertThat(detail.getMessage()).doesNotContain(MARKET);
    failure(
        Status.Code.UNAUTHENTICATED,
        () -> client.fleetStatus(FleetStatusRequest.getDefaultInstance()));
    assertThat(fixture.control.submitted).hasValue(0);
  }

  static Stream<Arguments> invalidChanges() {
    Resource noSpec = Resource.newBuilder().setName("p").build();
    ResourceKey noKind = ResourceKey.newBuilder().setName("p").build();
    ResourceKey pool = ResourceKey.newBuilder().setKind(Kind.KIND_POOL).setName("p").build();
    return Stream.of(
        Arguments.of(change("", pool("p")), "request_id"),
        Arguments.of(change("r"), "upserts"),
        Arguments.of(change("r", pool("P")), "upserts[0].name"),
        Arguments.of(change("r", noSpec), "upserts[0]"),
        Arguments.of(change("r", pool("p"), pool("p")), "upserts[1].name"),
        Arguments.of(change("r", pool("p")).addDeletes(pool), "deletes[0].name"),
        Arguments.of(change("r").addDeletes(noKind), "deletes[0].kind"),
        Arguments.of(change("r", pool("p")).setTierValue(9), "tier"),
        Arguments.of(change("r", pool("p"), route("q", "no-slash", "p")), "upserts[1].path_prefix"),
        Arguments.of(change("r", secret("s", "")), "upserts[0].value"),
        Arguments.of(change("r", secret("s", "two words")), "upserts[0].value"));
  }

  @ParameterizedTest
  @MethodSource("invalidChanges")
  void invalidChangeNamesItsField(ApplyRequest.Builder request, String field) {
    ErrorDetail detail =
        failure(Status.Code.INVALID_ARGUMENT, () -> fixture.as(MARKET).apply(request.build()));
    assertThat(detail.getViolationsList()).extracting(Violation::getField).contains(field);
    assertThat(detail.getOutcome()).isEqualTo(Outcome.OUTCOME_NOT_RUN);
    assertThat(fixture.control.submitted).hasValue(0);
  }

  @Test
  void poolOfUnknownServiceIsRejected() {
    Resource pool = pool("p");
    Resource unknown =
        pool.toBuilder().setPool(pool.getPool().toBuilder().setService("no-such")).build();
    ErrorDetail detail =
        failure(
            Status.Code.INVALID_ARGUMENT,
            () -> fixture.as(MARKET).apply(change("r", pool("q"), unknown).build()));
    assertThat(detail.getViolations(0).getField()).isEqualTo("upserts[1].service");
    assertThat(detail.getViolations(0).getMessage()).isEqualTo("not in platform document 5");
    assertThat(fixture.control.submitted).hasValue(0);
  }

  @Test
  void errorOfALargeChangeFitsInTheTrailers() {
    ApplyRequest.Builder request = change("r".repeat(10_000));
    for (int index = 0; index < 300; index++) {
      request.addUpserts(pool("A" + "b".repeat(500) + index));
    }
    ErrorDetail detail =
        failure(Status.Code.INVALID_ARGUMENT, () -> fixture.as(MARKET).apply(request.build()));
    assertThat(detail.getMessage()).contains("301 violation(s)");
    assertThat(detail.getViolationsCount()).isPositive();
  }

  @Test
  void errorsDoNotContainSecretValues() {
    ErrorDetail detail =
        failure(
            Status.Code.INVALID_ARGUMENT,
            () -> fixture.as(MARKET).apply(change("r", secret("s", "hunter two")).build()));
    assertThat(detail.toString()).doesNotContain("hunter");
  }

  @ParameterizedTest
  @CsvSource({
    "TIER_PREMIUM, TIER_UNSPECIFIED, market",
    "TIER_STANDARD, TIER_PREMIUM, market",
    "TIER_UNSPECIFIED, TIER_UNSPECIFIED, dealer"
  })
  void tierWithoutEntitlementAndOtherTenantAreForbidden(
      Tier changeTier, Tier resourceTier, String tenant) {
    Resource resource = pool("p").toBuilder().setTier(resourceTier).build();
    ApplyRequest request = change("r", resource).setTier(changeTier).setTenant(tenant).build();
    ErrorDetail detail =
        failure(Status.Code.PERMISSION_DENIED, () -> fixture.as(MARKET).apply(request));
    assertThat(detail.getViolationsCount()).isPositive();
    assertThat(fixture.control.submitted).hasValue(0);
  }

  @ParameterizedTest
  @EnumSource(RefusalCode.class)
  void refusalIsNotRun(RefusalCode code) {
    Status.Code expected =
        switch (code) {
          case INVALID -> Status.Code.INVALID_ARGUMENT;
          case CONFLICT -> Status.Code.FAILED_PRECONDITION;
          case REQUEST_ID_REUSED -> Status.Code.ALREADY_EXISTS;
          case NO_QUORUM -> Status.Code.UNAVAILABLE;
          case OVERLOADED -> Status.Code.RESOURCE_EXHAUSTED;
        };
    fixture.control.nextOutcome =
        Optional.of(CompletableFuture.completedFuture(new ChangeResult.Refused(code, List.of())));
    ErrorDetail detail =
        failure(expected, () -> fixture.as(MARKET).apply(change("r", pool("p")).build()));
    assertThat(detail.getOutcome()).isEqualTo(Outcome.OUTCOME_NOT_RUN);
    var explanation =
        fixture.as(MARKET).explain(ExplainRequest.newBuilder().setRequestId("r").build());
    assertThat(explanation.getChange().getRefused()).isEqualTo(detail);
    failure(
        Status.Code.NOT_FOUND,
        () -> fixture.as(DEALER).explain(ExplainRequest.newBuilder().setRequestId("r").build()));
  }

  static Stream<CompletableFuture<ChangeResult>> unknownOutcomes() {
    return Stream.of(
        CompletableFuture.completedFuture(new ChangeResult.Unknown("leader lost")),
        CompletableFuture.failedFuture(new IllegalStateException("broken")));
  }

  @ParameterizedTest
  @MethodSource("unknownOutcomes")
  void unknownOutcomeIsReportedAsMayHaveRun(CompletableFuture<ChangeResult> outcome) {
    fixture.control.nextOutcome = Optional.of(outcome);
    ErrorDetail detail =
        failure(
            Status.Code.UNKNOWN, () -> fixture.as(MARKET).apply(change("r", pool("p")).build()));
    assertThat(detail.getOutcome()).isEqualTo(Outcome.OUTCOME_MAY_HAVE_RUN);
  }

  @Test
  void callWithoutEnoughTimeIsNotSubmitted() {
    var client = fixture.as(MARKET).withDeadlineAfter(30, TimeUnit.MILLISECONDS);
    org.assertj.core.api.Assertions.assertThatThrownBy(
            () -> client.apply(change("r", pool("p")).build()))
        .hasMessageContaining("DEADLINE_EXCEEDED");
    assertThat(fixture.control.submitted).hasValue(0);
  }

  @Test
  void retryReturnsTheFirstResultAndReusedRequestIdIsRejected() {
    var client = fixture.as(MARKET);
    ApplyRequest first = change("r", pool("p")).build();
    assertThat(client.apply(first)).isEqualTo(client.apply(first));
    assertThat(fixture.control.version().sequence()).isEqualTo(1);
    failure(Status.Code.ALREADY_EXISTS, () -> client.apply(change("r", pool("q")).build()));
    var explanation = client.explain(ExplainRequest.newBuilder().setRequestId("r").build());
    assertThat(explanation.getChange().getAccepted().getSequence()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({
    "token-of-market, booking-1, '', PERMISSION_DENIED",
    "token-of-administrator, unknown-1, '', INVALID_ARGUMENT",
    "token-of-administrator, '', 127.0.0.9, INVALID_ARGUMENT",
    "token-of-administrator, '', '', INVALID_ARGUMENT"
  })
  void invalidDrainIsRejected(String token, String backend, String node, Status.Code code) {
    DrainRequest.Builder request = DrainRequest.newBuilder().setRequestId("d").setDraining(true);
    if (!backend.isEmpty()) {
      request.setBackendId(backend);
    } else if (!node.isEmpty()) {
      request.setNode(node);
    }
    failure(code, () -> fixture.as(token).drain(request.build()));
    assertThat(fixture.control.submitted).hasValue(0);
  }

  @Test
  void drainOfNodeDrainsItsLocalBackend() {
    DrainRequest.Builder request = DrainRequest.newBuilder().setDraining(true);
    var response =
        fixture
            .as(ADMINISTRATOR)
            .drain(request.setRequestId("d-1").setNode("127.0.0.3:7201").build());
    assertThat(response.getBackendIdsList()).containsExactly("booking-2");
    assertThat(fixture.control.status().committed().drained()).containsExactly("booking-2");
  }

  @Test
  void reformNeedsAnAdministratorAndAddresses() {
    ReformRequest request = ReformRequest.newBuilder().addAcceptedLoss("127.0.0.1:7102").build();
    failure(Status.Code.PERMISSION_DENIED, () -> fixture.as(MARKET).reform(request));
    ReformRequest malformed = ReformRequest.newBuilder().addAcceptedLoss("x").build();
    failure(Status.Code.INVALID_ARGUMENT, () -> fixture.as(ADMINISTRATOR).reform(malformed));
    assertThat(fixture.control.reformed).isEmpty();
    assertThat(fixture.as(ADMINISTRATOR).reform(request).getVersion().getEpoch()).isEqualTo(2);
    assertThat(fixture.control.reformed).hasSize(1);
  }
}
