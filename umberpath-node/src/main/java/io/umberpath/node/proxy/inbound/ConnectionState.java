package io.umberpath.node.proxy.inbound;

/**
 * The state of a client connection. It only moves forward, under the connection's lock:
 *
 * <pre>
 * OPEN ──last response announced──▶ LAST_RESPONSE ──written──▶ OUTPUT_ENDED ──peer closes──▶ CLOSED
 *   └──────idle for too long, or the process is shutting down──────▲
 * </pre>
 *
 * and to {@link #CLOSED} from any state when the connection is lost or a response is truncated.
 */
enum ConnectionState {
  /** Requests are read, begun and answered. */
  OPEN,
  /** The last response has been announced: it is completed, but no later request is begun. */
  LAST_RESPONSE,
  /**
   * All output has been written and the output side shut down. Input is read and discarded, since
   * closing with unread bytes would reset the connection and destroy responses the peer has not
   * read.
   */
  OUTPUT_ENDED,
  /** Closed. */
  CLOSED;

  /** Whether nothing more is written. */
  boolean isOver() {
    return this == OUTPUT_ENDED || this == CLOSED;
  }
}
