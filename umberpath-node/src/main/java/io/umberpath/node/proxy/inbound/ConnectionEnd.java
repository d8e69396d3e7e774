package io.umberpath.node.proxy.inbound;

import org.glassfish.grizzly.CloseReason;

/** Why a caller's connection ends. */
public enum ConnectionEnd {
  /** The peer ended or lost it. */
  PEER,
  /** The last answer that it was to carry is out. */
  LAST_ANSWER,
  /** It carried no request for too long. */
  IDLE,
  /** An answer broke off, which must not look complete. */
  BROKEN_ANSWER,
  /** The process ends. */
  STOP,
  /** The program failed while it handled what was read. */
  FAULT;

  /** Why a connection ends that this node did not mean to end. */
  static ConnectionEnd ofCloseReason(CloseReason reason) {
    boolean isFault = reason != null && isOfProgram(reason.getCause());
    return isFault ? FAULT : PEER;
  }

  /** The transport wraps what a filter throws; what the socket throws is bare. */
  private static boolean isOfProgram(Throwable cause) {
    return cause != null
        && (cause.getCause() instanceof RuntimeException || cause.getCause() instanceof Error);
  }
}
