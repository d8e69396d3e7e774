package io.umberpath.model;

/** What is known about whether a request was executed. Used by all layers; see design note 0003. */
public sealed interface Verdict {
  /** Whether the request can be sent to another backend without the risk of running twice. */
  default boolean safeToSendAgain() {
    return this instanceof NotRun;
  }

  /** The request ran and its complete response was delivered. */
  record Completed() implements Verdict {
    // Implemented explicitly, as requests are counted by verdict; see PeerAddress.
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
   * @param reason why the outcome is unknown
   */
  record MayHaveRun(Reason reason) implements Verdict {}

  /** Why a request was refused or its outcome is unknown. */
  enum Reason {
    /** No route matches host and path. */
    NO_ROUTE(404),
    /** The request is malformed or its framing is ambiguous. */
    BAD_REQUEST(400),
    /** A header or body limit was exceeded. */
    TOO_LARGE(413),
    /** This node has no valid configuration yet. */
    NOT_READY(503),
    /** The pool has no backend that accepts work. */
    NO_BACKEND(503),
    /** All slots and queue places are taken. */
    OVERLOADED(503),
    /** Backends crash while running this request, so it is sent to none any more. */
    QUARANTINED(503),
    /** The backend itself reported that it did not run the request. */
    REJECTED(503),
    /** The backend or node is draining. */
    DRAINING(503),
    /** The node or backend could not be reached before the request was handed over. */
    UNREACHABLE(503),
    /** Another node could not parse the request as sent by this one. */
    UNREADABLE(503),
    /** The deadline could not be met or has passed. */
    DEADLINE(504),
    /** The client cancelled the request. */
    CANCELLED(499),
    /** The connection was lost after bytes may have reached the backend. */
    CONNECTION_LOST(502),
    /** The backend's response was not valid HTTP. */
    BAD_ANSWER(502),
    /** The same request id was sent before and its outcome is unknown. */
    DUPLICATE(409),
    /** Internal error. */
    INTERNAL(500);

    private final int status;

    Reason(int status) {
      this.status = status;
    }

    /** HTTP status of the edge's response. */
    public int status() {
      return status;
    }
  }
}
