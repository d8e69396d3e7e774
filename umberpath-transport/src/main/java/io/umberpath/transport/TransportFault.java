package io.umberpath.transport;

import java.util.Locale;

/** Causes of lost messages and closed connections, each counted separately. */
public enum TransportFault {
  /** A frame header is invalid. */
  MALFORMED_FRAME,
  /** The connection was closed in the middle of a frame. */
  TRUNCATED_FRAME,
  /** A frame exceeds the size limit. */
  OVERSIZED_FRAME,
  /** The peer uses a different protocol version. */
  WRONG_VERSION,
  /**
   * The first frame is not a valid hello, or the hello names an address other than the dialled one.
   */
  BAD_HELLO,
  /** A payload cannot be decoded as a message. */
  MALFORMED_MESSAGE,
  /** The message type is unknown to this build. */
  UNKNOWN_MESSAGE_TYPE,
  /** A connection attempt failed. */
  CONNECT_FAILED,
  /** No hello was received within the connect timeout. */
  CONNECT_TIMEOUT,
  /** A connection was lost without a goodbye. */
  CONNECTION_LOST,
  /** Nothing was received from the peer for the silence timeout. */
  SILENT_PEER,
  /** A write to the peer made no progress for the stall timeout. */
  STALLED_PEER,
  /** The connection limit was reached. */
  TOO_MANY_CONNECTIONS,
  /** A message was dropped because the peer's send queue was full. */
  SEND_QUEUE_FULL,
  /** A message could not be sent: it is too large, or its destination is not allowed. */
  REFUSED_MESSAGE,
  /** The TLS handshake failed. */
  TLS_HANDSHAKE_FAILED,
  /** Changed certificate files could not be loaded; the previous ones stay in use. */
  TLS_RELOAD_FAILED;

  /** Returns the stable name for logs and metric labels, for example {@code wrong-version}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
