package io.umberpath.node.operator;

import io.grpc.ForwardingServerCall;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/** Records the duration of every call by method and status code. Thread-safe. */
final class CallMetrics implements ServerInterceptor {
  static final String NAME = "umberpath.operator.calls";

  private final MeterRegistry registry;

  CallMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  @Override
  public <RequestT, ResponseT> ServerCall.Listener<RequestT> interceptCall(
      ServerCall<RequestT, ResponseT> call,
      Metadata headers,
      ServerCallHandler<RequestT, ResponseT> next) {
    Timer.Sample sample = Timer.start(registry);
    String method = call.getMethodDescriptor().getBareMethodName();
    ServerCall<RequestT, ResponseT> timed =
        new ForwardingServerCall.SimpleForwardingServerCall<>(call) {
          @Override
          public void close(Status status, Metadata trailers) {
            sample.stop(registry.timer(NAME, "method", method, "code", status.getCode().name()));
            super.close(status, trailers);
          }
        };
    return next.startCall(timed, headers);
  }
}
