package io.umberpath.traffic.requestid;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;

/**
 * What edge proxies and registrars say to each other. Messages may be lost, repeated, late and out
 * of order.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = RequestIdMessage.Claim.class, name = "claim"),
  @JsonSubTypes.Type(value = RequestIdMessage.Lookup.class, name = "lookup"),
  @JsonSubTypes.Type(value = RequestIdMessage.Settle.class, name = "settle"),
  @JsonSubTypes.Type(value = RequestIdMessage.Reply.class, name = "reply")
})
public sealed interface RequestIdMessage {
  /** The request id with its scope; see {@link RequestIdKey}. */
  RequestIdKey key();

  /** The one attempt that speaks or is answered. */
  String token();

  /**
   * To a registrar: this attempt alone may run the request.
   *
   * @param leaseMillis time until its caller gives up; after it the outcome counts as unknown
   *     unless settled
   */
  record Claim(RequestIdKey key, String token, long leaseMillis) implements RequestIdMessage {}

  /** To a registrar: what is known of the id; changes nothing. */
  record Lookup(RequestIdKey key, String token) implements RequestIdMessage {}

  /**
   * To a registrar: how the attempt that claimed the id ended.
   *
   * @param outcome answered, unknown or not run
   * @param answer the answer, if it is answered and small
   */
  record Settle(RequestIdKey key, String token, Outcome outcome, Optional<StoredAnswer> answer)
      implements RequestIdMessage {}

  /**
   * From a registrar.
   *
   * @param token the token of the message that is answered
   * @param state what the registrar knows
   * @param holder the attempt that holds the id, if any
   * @param answer the answer, if one is kept
   */
  record Reply(
      RequestIdKey key,
      String token,
      State state,
      Optional<String> holder,
      Optional<StoredAnswer> answer)
      implements RequestIdMessage {
    static Reply of(RequestIdMessage asked, State state) {
      return new Reply(asked.key(), asked.token(), state, Optional.empty(), Optional.empty());
    }
  }

  /** How an attempt ended. */
  enum Outcome {
    /** It ran and was answered. */
    ANSWERED,
    /** It may have run. */
    UNKNOWN,
    /** It certainly did not run and never will; the id is free again. */
    NOT_RUN
  }

  /** What a registrar knows of an id. */
  enum State {
    /** The asking attempt holds the id here. */
    GRANTED,
    /** Nobody holds the id here. */
    FREE,
    /** Another attempt holds the id and has not ended. */
    HELD,
    /** An attempt was answered. */
    ANSWERED,
    /** An attempt ended and may have run. */
    UNKNOWN,
    /** Nobody holds the id here, but there is no place for it. */
    FULL,
    /** The registrar's memory does not reach back far enough to say anything. */
    ABSTAINED
  }
}
