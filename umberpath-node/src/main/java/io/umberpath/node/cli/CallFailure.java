package io.umberpath.node.cli;

import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.StatusProto;
import io.umberpath.api.v1.ErrorDetail;
import io.umberpath.api.v1.Outcome;
import java.io.PrintStream;
import java.util.Optional;

/**
 * The reason of a failed call, as known to the client.
 *
 * @param exitCode exit code of the command
 * @param message one-sentence description
 * @param detail the server's error detail, if it responded
 */
record CallFailure(ExitCode exitCode, String message, Optional<ErrorDetail> detail) {
  /** No server could be reached. */
  static CallFailure unreachable(String servers) {
    return new CallFailure(
        ExitCode.UNAVAILABLE, "not run: cannot connect to " + servers, Optional.empty());
  }

  /**
   * Classifies a failed call.
   *
   * @param failure the exception thrown by gRPC
   * @param changes whether the call is mutating
   */
  static CallFailure of(StatusRuntimeException failure, boolean changes) {
    Optional<ErrorDetail> detail = detail(failure);
    String text = detail.map(ErrorDetail::getMessage).orElse(failure.getStatus().toString());
    boolean mayHaveRun =
        changes && detail.map(found -> found.getOutcome() != Outcome.OUTCOME_NOT_RUN).orElse(true);
    if (mayHaveRun) {
      return new CallFailure(ExitCode.MAY_HAVE_RUN, "may have run: " + text, detail);
    }
    ExitCode exitCode =
        switch (failure.getStatus().getCode()) {
          case UNAVAILABLE, RESOURCE_EXHAUSTED -> ExitCode.UNAVAILABLE;
          default -> ExitCode.REFUSED;
        };
    return new CallFailure(exitCode, "not run: " + text, detail);
  }

  private static Optional<ErrorDetail> detail(StatusRuntimeException failure) {
    com.google.rpc.Status status = StatusProto.fromThrowable(failure);
    if (status == null) {
      return Optional.empty();
    }
    for (Any any : status.getDetailsList()) {
      if (any.is(ErrorDetail.class)) {
        try {
          return Optional.of(any.unpack(ErrorDetail.class));
        } catch (InvalidProtocolBufferException unreadable) {
          return Optional.empty();
        }
      }
    }
    return Optional.empty();
  }

  /** Prints the message, followed by each violation that the server reported. */
  void print(PrintStream stream) {
    stream.println(message);
    detail.ifPresent(
        found ->
            found
                .getViolationsList()
                .forEach(
                    violation -> stream.println("  " + ResponseFormatter.violation(violation))));
  }
}
