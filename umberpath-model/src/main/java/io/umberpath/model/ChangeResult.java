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
   * A quorum holds it; it will be in force everywhere and never reverts.
   *
   * @param version every committed version at or after it contains the change
   */
  record Accepted(Version version) implements ChangeResult {}

  /**
   * It did not run and will not run.
   *
   * @param code kind of refusal
   * @param violations what was wrong, field by field; empty for unavailability
   */
  record Refused(RefusalCode code, List<Violation> violations) implements ChangeResult {}

  /**
   * It may or may not have been accepted; repeating it with the same request id is safe.
   *
   * @param cause what hid the outcome
   */
  record Unknown(String cause) implements ChangeResult {}

  /** Why a change was refused. */
  enum RefusalCode {
    /** A field is invalid or a reference dangles. */
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
