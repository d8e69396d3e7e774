package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** The outcome of an operator's change. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ChangeResult.Accepted.class, name = "a"),
  @JsonSubTypes.Type(value = ChangeResult.Refused.class, name = "r"),
  @JsonSubTypes.Type(value = ChangeResult.Unknown.class, name = "u")
})
public sealed interface ChangeResult {
  /**
   * A quorum has accepted the change; it will be in force everywhere and is never reverted.
   *
   * @param version every committed version at or after it contains the change
   */
  record Accepted(Version version) implements ChangeResult {}

  /**
   * The change was not applied and will not be.
   *
   * @param code kind of refusal
   * @param violations what was wrong, field by field; empty if the control plane was unavailable
   */
  record Refused(RefusalCode code, List<Violation> violations) implements ChangeResult {}

  /**
   * The change may or may not have been accepted; a retry with the same request id is safe.
   *
   * @param cause why the outcome is unknown
   */
  record Unknown(String cause) implements ChangeResult {}

  /** Why a change was refused. */
  enum RefusalCode {
    /** A field is invalid or a reference cannot be resolved. */
    INVALID,
    /** The expected version is not the committed one, or a resource belongs to another tenant. */
    CONFLICT,
    /** The request id was used with a different change. */
    REQUEST_ID_REUSED,
    /** No leader with a quorum can be reached. */
    NO_QUORUM,
    /** The queue of the tier is full. */
    OVERLOADED
  }
}
