package io.umberpath.node.operator;

import com.google.protobuf.Any;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.StatusProto;
import io.umberpath.api.v1.ErrorDetail;
import io.umberpath.api.v1.ErrorReason;
import io.umberpath.api.v1.Outcome;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.Violation;
import java.util.List;

/**
 * The error of a failed call: a status code and one {@link ErrorDetail}.
 *
 * @param code gRPC status code
 * @param detail reason, outcome and violations; free of secrets
 */
record OperatorError(Status.Code code, ErrorDetail detail) {
  /** These limits keep the trailers below the 8 KiB that clients accept by default. */
  private static final int MAX_VIOLATIONS = 16;

  private static final int MAX_FIELD_LENGTH = 64;
  private static final int MAX_MESSAGE_LENGTH = 160;

  /** Invalid fields; nothing ran. */
  static OperatorError invalid(List<Violation> violations) {
    return notRun(
        Status.Code.INVALID_ARGUMENT,
        ErrorReason.ERROR_REASON_INVALID,
        "refused, " + violations.size() + " violation(s); first: " + violations.get(0).field(),
        violations);
  }

  /** One invalid field; nothing ran. */
  static OperatorError invalid(String field, String value, String message) {
    return invalid(List.of(new Violation(field, value, message)));
  }

  /** The token lacks the permission; nothing ran. */
  static OperatorError forbidden(String message, List<Violation> violations) {
    return notRun(
        Status.Code.PERMISSION_DENIED, ErrorReason.ERROR_REASON_FORBIDDEN, message, violations);
  }

  /** The principal's tenant has no such object. */
  static OperatorError notFound(String message) {
    return notRun(Status.Code.NOT_FOUND, ErrorReason.ERROR_REASON_NOT_FOUND, message, List.of());
  }

  /** A limit was exceeded; nothing ran. */
  static OperatorError overloaded(String message) {
    return notRun(
        Status.Code.RESOURCE_EXHAUSTED, ErrorReason.ERROR_REASON_OVERLOADED, message, List.of());
  }

  /** The deadline passed and nothing ran. */
  static OperatorError deadlineExceeded(String message) {
    return notRun(
        Status.Code.DEADLINE_EXCEEDED, ErrorReason.ERROR_REASON_DEADLINE, message, List.of());
  }

  /** An unexpected failure in a read-only call. */
  static OperatorError internal() {
    return notRun(
        Status.Code.INTERNAL, ErrorReason.ERROR_REASON_INTERNAL, "internal error", List.of());
  }

  /** The change may have been accepted. */
  static OperatorError unknown(String cause) {
    return of(
        Status.Code.UNKNOWN,
        ErrorReason.ERROR_REASON_OUTCOME_UNKNOWN,
        Outcome.OUTCOME_MAY_HAVE_RUN,
        "the outcome is not known (" + cause + "); repeat with the same request id",
        List.of());
  }

  /** The control plane refused the change. */
  static OperatorError refused(ChangeResult.Refused refused) {
    return switch (refused.code()) {
      case INVALID ->
          notRun(
              Status.Code.INVALID_ARGUMENT,
              ErrorReason.ERROR_REASON_INVALID,
              "the change is invalid",
              refused.violations());
      case CONFLICT ->
          notRun(
              Status.Code.FAILED_PRECONDITION,
              ErrorReason.ERROR_REASON_CONFLICT,
              "the change conflicts with the committed configuration",
              refused.violations());
      case REQUEST_ID_REUSED ->
          notRun(
              Status.Code.ALREADY_EXISTS,
              ErrorReason.ERROR_REASON_REQUEST_ID_REUSED,
              "the request id was used for a different change",
              refused.violations());
      case NO_QUORUM ->
          notRun(
              Status.Code.UNAVAILABLE,
              ErrorReason.ERROR_REASON_NO_QUORUM,
              "no leader with a quorum can be reached",
              refused.violations());
      case OVERLOADED ->
          notRun(
              Status.Code.RESOURCE_EXHAUSTED,
              ErrorReason.ERROR_REASON_OVERLOADED,
              "too many changes are queued in this tier",
              refused.violations());
    };
  }

  /** Nothing ran. */
  static OperatorError notRun(
      Status.Code code, ErrorReason reason, String message, List<Violation> violations) {
    return of(code, reason, Outcome.OUTCOME_NOT_RUN, message, violations);
  }

  private static OperatorError of(
      Status.Code code,
      ErrorReason reason,
      Outcome outcome,
      String message,
      List<Violation> violations) {
    ErrorDetail.Builder detail =
        ErrorDetail.newBuilder()
            .setReason(reason)
            .setOutcome(outcome)
            .setMessage(shorten(message, MAX_MESSAGE_LENGTH));
    violations.stream()
        .limit(MAX_VIOLATIONS)
        .map(OperatorError::shorten)
        .forEach(violation -> detail.addViolations(ResourceCodec.violation(violation)));
    return new OperatorError(code, detail.build());
  }

  private static Violation shorten(Violation violation) {
    return new Violation(
        shorten(violation.field(), MAX_FIELD_LENGTH),
        shorten(violation.value(), MAX_FIELD_LENGTH),
        shorten(violation.message(), MAX_MESSAGE_LENGTH));
  }

  /** Truncates the text if it is longer than the bound. */
  static String shorten(String text, int bound) {
    return text.length() <= bound ? text : text.substring(0, bound) + "...";
  }

  /** Converts to an exception with the detail in its trailers. */
  StatusRuntimeException toException() {
    return StatusProto.toStatusRuntimeException(
        com.google.rpc.Status.newBuilder()
            .setCode(code.value())
            .setMessage(detail.getMessage())
            .addDetails(Any.pack(detail))
            .build());
  }

  /** Converts to a status without details. */
  Status toStatus() {
    return toException().getStatus();
  }

  /** Returns the trailers, which contain the details. */
  Metadata toTrailers() {
    return toException().getTrailers();
  }
}
