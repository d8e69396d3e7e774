package io.umberpath.node.proxy.http;

import org.glassfish.grizzly.Connection;

/**
 * Supplies the client codec with the state of a connection, and receives its events other than
 * decoded messages.
 */
public interface ClientCodecDelegate {
  /** Whether a request is in flight whose final response head has not been received. */
  boolean isAwaitingHead(Connection<?> connection);

  /** Whether a response body is being received on the connection. */
  boolean isReadingBody(Connection<?> connection);

  /** Called when the head of a final response has been decoded. */
  void onHeadDecoded(Connection<?> connection);

  /**
   * Called for an interim response (1xx other than 101).
   *
   * @param head its raw bytes, already validated
   */
  void onInterimResponse(Connection<?> connection, byte[] head);

  /**
   * Called for bytes that are not a valid response, or that no request is waiting for; the
   * connection cannot be used again.
   */
  void onMalformedResponse(Connection<?> connection, Throwable error);
}
