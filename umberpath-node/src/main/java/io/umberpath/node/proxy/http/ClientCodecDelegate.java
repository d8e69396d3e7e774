package io.umberpath.node.proxy.http;

import org.glassfish.grizzly.Connection;

/** What the client codec asks and tells about a connection, besides the messages it decodes. */
public interface ClientCodecDelegate {
  /** Whether a request is under way whose final answer head has not come yet. */
  boolean isAwaitingHead(Connection<?> connection);

  /** Whether the connection is in the body of an answer. */
  boolean isReadingBody(Connection<?> connection);

  /** A final answer head has been decoded. */
  void onHeadDecoded(Connection<?> connection);

  /**
   * An interim answer (1xx other than 101) arrived.
   *
   * @param head its raw bytes, checked
   */
  void onInterimResponse(Connection<?> connection, byte[] head);

  /** What arrived is no valid answer, or no request waits for one; the connection is unusable. */
  void onMalformedResponse(Connection<?> connection, Throwable error);
}
