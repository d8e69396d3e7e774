package io.umberpath.node.operator;

import com.google.common.flogger.FluentLogger;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.api.v1.ApplyResponse;
import io.umberpath.api.v1.ConfigurationGrpc;
import io.umberpath.api.v1.DrainRequest;
import io.umberpath.api.v1.DrainResponse;
import io.umberpath.api.v1.ExplainRequest;
import io.umberpath.api.v1.ExplainResponse;
import io.umberpath.api.v1.FleetStatusRequest;
import io.umberpath.api.v1.FleetStatusResponse;
import io.umberpath.api.v1.GetRequest;
import io.umberpath.api.v1.GetResponse;
import io.umberpath.api.v1.ListRequest;
import io.umberpath.api.v1.ListResponse;
import io.umberpath.api.v1.ReformRequest;
import io.umberpath.api.v1.ReformResponse;
import io.umberpath.api.v1.WaitRequest;
import io.umberpath.api.v1.WaitResponse;
import io.umberpath.api.v1.WatchStatusRequest;
import io.umberpath.node.control.ControlService;
import io.umberpath.node.logs.LogFields;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

/** The gRPC service: dispatches each call to its handler and sends the response. */
final class ConfigurationService extends ConfigurationGrpc.ConfigurationImplBase {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ChangeHandler changes;
  private final ReadHandler reads;
  private final FleetHandler fleet;
  private final ExplainHandler explanations;

  ConfigurationService(ControlService control, ScheduledExecutorService scheduler) {
    RecentRefusals refusals = new RecentRefusals();
    this.changes = new ChangeHandler(control, refusals);
    this.reads = new ReadHandler(control);
    this.fleet = new FleetHandler(control, scheduler);
    this.explanations = new ExplainHandler(control, refusals);
  }

  @Override
  public void apply(ApplyRequest request, StreamObserver<ApplyResponse> observer) {
    respondAsync(observer, changes.apply(Principal.KEY.get(), request));
  }

  @Override
  public void wait(WaitRequest request, StreamObserver<WaitResponse> observer) {
    respondAsync(observer, fleet.waitFor(request));
  }

  @Override
  public void get(GetRequest request, StreamObserver<GetResponse> observer) {
    respond(observer, () -> reads.get(Principal.KEY.get(), request));
  }

  @Override
  public void list(ListRequest request, StreamObserver<ListResponse> observer) {
    respond(observer, () -> reads.list(Principal.KEY.get(), request));
  }

  @Override
  public void fleetStatus(
      FleetStatusRequest request, StreamObserver<FleetStatusResponse> observer) {
    respondAsync(observer, fleet.status(Principal.KEY.get()));
  }

  @Override
  public void watchStatus(
      WatchStatusRequest request, StreamObserver<FleetStatusResponse> observer) {
    fleet.watch(
        Principal.KEY.get(), request, (ServerCallStreamObserver<FleetStatusResponse>) observer);
  }

  @Override
  public void explain(ExplainRequest request, StreamObserver<ExplainResponse> observer) {
    respond(observer, () -> explanations.explain(Principal.KEY.get(), request));
  }

  @Override
  public void drain(DrainRequest request, StreamObserver<DrainResponse> observer) {
    respondAsync(observer, changes.drain(Principal.KEY.get(), request));
  }

  @Override
  public void reform(ReformRequest request, StreamObserver<ReformResponse> observer) {
    respondAsync(observer, changes.reform(Principal.KEY.get(), request));
  }

  private static <T> void respond(
      StreamObserver<T> observer, Supplier<Either<OperatorError, T>> handler) {
    Either<OperatorError, T> result;
    try {
      result = handler.get();
    } catch (RuntimeException failure) {
      result = Either.left(internalError(failure));
    }
    send(observer, result);
  }

  private static <T> void respondAsync(
      StreamObserver<T> observer, CompletableFuture<Either<OperatorError, T>> response) {
    // With a cancel handler, sending a response to a cancelled call does not throw.
    ((ServerCallStreamObserver<T>) observer).setOnCancelHandler(() -> {});
    response.whenComplete(
        (result, failure) ->
            send(observer, failure == null ? result : Either.left(internalError(failure))));
  }

  private static OperatorError internalError(Throwable failure) {
    logger
        .atSevere()
        .withCause(failure)
        .with(LogFields.EVENT, "operator-call-failed")
        .log("an operator call failed unexpectedly");
    return OperatorError.internal();
  }

  private static <T> void send(StreamObserver<T> observer, Either<OperatorError, T> result) {
    if (result.isLeft()) {
      observer.onError(result.getLeft().toException());
      return;
    }
    observer.onNext(result.get());
    observer.onCompleted();
  }
}
