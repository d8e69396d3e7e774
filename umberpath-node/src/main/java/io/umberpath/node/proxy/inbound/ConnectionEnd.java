package io.umberpath.node.proxy.inbound;

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
  STOP
}
