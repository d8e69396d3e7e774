package io.umberpath.node.proxy.inbound;

import org.glassfish.grizzly.CloseReason;

/** Why a client connection ended. */
public enum ConnectionEnd {
  /** The peer closed it, or it was lost. */
  PEER,
  /** The response that was announced as the last one has been written. */
  LAST_ANSWER,
  /** It was idle for too long. */
  IDLE,
  /** A response was truncated; closing shows the peer that it is incomplete. */
  BROKEN_ANSWER,
  /** The process is shutting down. */
  STOP,
  /** An exception was thrown while input was handled. */
  FAULT;

  /** The cause of an end that this node did not initiate. */
  static ConnectionEnd ofCloseReason(CloseReason reason) {
    boolean isFault = reason != null && isOfProgram(reason.getCause());
    return isFault ? FAULT : PEER;
  }

  /** The transport wraps exceptions thrown by filters, but not those of the socket. */
  private static boolean isOfProgram(Throwable cause) {
    return cause != null
        && (cause.getCause() instanceof RuntimeException || cause.getCause() instanceof Error);
  }
}
