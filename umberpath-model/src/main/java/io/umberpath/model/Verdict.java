package io.umberpath.model;

/** What is known of whether a request ran. Every layer speaks it; see design note 0003. */
public sealed interface Verdict {
  /** Whether sending the same request elsewhere cannot run it twice. */
  default boolean safeToSendAgain() {
    return this instanceof NotRun;
  }

  /** The request ran and its whole answer was delivered. */
  record Completed() implements Verdict {
    // Written out: counted by verdict at each request, see PeerAddress.
    @Override
    public boolean equals(Object other) {
      return other instanceof Completed;
    }

    @Override
    public int hashCode() {
      return 1;
    }
  }

  /**
   * The request certainly did not run.
   *
   * @param reason why it was refused
   */
  record NotRun(Reason reason) implements Verdict {}

  /**
   * The request may have run; it must not be sent again unless it is repeatable.
   *
   * @param reason what hid the outcome
   */
  record MayHaveRun(Reason reason) implements Verdict {}

  /** Why a request was refused or its outcome is unknown. */
  enum Reason {
    /** No route matches host and path. */
    NO_ROUTE(404),
    /** The request is malformed or its framing is doubtful. */
    BAD_REQUEST(400),
    /** A header or body limit was exceeded. */
    TOO_LARGE(413),
    /** This node has no configuration it may run yet. */
    NOT_READY(503),
    /** The pool has no back end that takes work. */
    NO_BACKEND(503),
    /** Every permitted slot and queue place is taken. */
    OVERLOADED(503),
    /** Back ends end under this very request, which is sent to none any more. */
    QUARANTINED(503),
    /** The back end itself said that it did not run the request. */
    REJECTED(503),
    /** The back end or node is leaving. */
    DRAINING(503),
    /** The node or back end could not be reached before the request was handed over. */
    UNREACHABLE(503),
    /** Another node could not read the request as this one sent it. */
    UNREADABLE(503),
    /** The deadline could not be met or has passed. */
    DEADLINE(504),
    /** The caller went away. */
    CANCELLED(499),
    /** The connection broke after bytes may have reached the back end. */
    CONNECTION_LOST(502),
    /** The back end's answer was not valid HTTP. */
    BAD_ANSWER(502),
    /** The same request id was sent before and its outcome is unknown. */
    DUPLICATE(409),
    /** Internal error. */
    INTERNAL(500);

    private final int status;

    Reason(int status) {
      this.status = status;
    }

    /** HTTP status the edge answers with. */
    public int status() {
      return status;
    }
  }
}
