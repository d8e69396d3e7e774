package io.umberpath.transport;

import java.util.Locale;

/** Causes of lost messages and closed connections; each has its counter. */
public enum TransportFault {
  /** A frame header is not one. */
  MALFORMED_FRAME,
  /** The connection ended inside a frame. */
  TRUNCATED_FRAME,
  /** A frame is longer than the limit. */
  OVERSIZED_FRAME,
  /** The peer speaks another protocol version. */
  WRONG_VERSION,
  /** The first frame is not a valid hello, or names an address that the connection is not for. */
  BAD_HELLO,
  /** A payload is not a valid message. */
  MALFORMED_MESSAGE,
  /** A message type is not known here. */
  UNKNOWN_MESSAGE_TYPE,
  /** The connection could not be made. */
  CONNECT_FAILED,
  /** No connection with a hello within the connect timeout. */
  CONNECT_TIMEOUT,
  /** An established connection broke. */
  CONNECTION_LOST,
  /** The peer sent nothing for the silence timeout. */
  SILENT_PEER,
  /** The peer took nothing for the stall timeout. */
  STALLED_PEER,
  /** More connections than the limit. */
  TOO_MANY_CONNECTIONS,
  /** A message was dropped because the peer's send queue was full. */
  SEND_QUEUE_FULL,
  /** A message could not be sent: too large, or to an address this transport may not use. */
  REFUSED_MESSAGE,
  /** The TLS handshake failed. */
  TLS_HANDSHAKE_FAILED,
  /** Changed certificate files could not be loaded; the former ones stay in use. */
  TLS_RELOAD_FAILED;

  /** Stable name for logs and metric labels, for example {@code wrong-version}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
