package io.umberpath.traffic.outlier;

/** Result of one attempt of a request at a backend, as evidence for outlier detection. */
public enum AttemptResult {
  /** A complete response that is not a server error. */
  SERVED,
  /** A complete response with a server error of the backend itself. */
  SERVER_ERROR,
  /** The backend shed the request although the node beside it had a slot for it; it did not run. */
  SHED,
  /** The response belonged to another request or violated the protocol. */
  BAD_ANSWER,
  /** The connection was closed before the response was complete. */
  LOST,
  /** No response arrived before the timeout of the attempt. */
  TIMED_OUT,
  /**
   * The client cancelled, or the node beside the backend refused: no evidence about the backend.
   */
  NO_EVIDENCE
}
