package io.umberpath.lab.caller;

/** What a caller learnt of its request. */
public enum CallOutcome {
  /** The whole answer to this very request arrived. */
  COMPLETED,
  /** Refused as certainly not run. */
  NOT_RUN,
  /** Refused as perhaps run. */
  MAY_HAVE_RUN,
  /** The back end shed it or drains, said so itself. */
  SHED,
  /** No answer arrived: the connection broke or the caller's patience ended. */
  NO_ANSWER,
  /** An answer arrived that is not whole, not this request's, or of a status nobody promised. */
  WRONG_ANSWER
}
