package io.umberpath.node.proxy.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;

/**
 * Queue of the responses that are still to be written on a client's connection. The codec uses it
 * to order the error responses that it sends itself.
 */
public interface PendingResponses {
  /** Attribute that holds the queue of a connection. */
  Attribute<PendingResponses> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.pendingResponses");

  /** Attaches the queue to a connection. */
  static void attach(Connection<?> connection, PendingResponses pending) {
    ATTRIBUTE.set(connection, pending);
  }

  /** Returns the queue of a connection; null if none is attached. */
  static PendingResponses of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  /**
   * Whether the connection accepts no more responses; bytes received from then on are discarded.
   */
  boolean isEnded();

  /** Tells whether the codec holds received bytes after the message that it passed on. */
  void setHasUndecodedBytes(boolean hasUndecodedBytes);

  /** Reports bytes that were received after the end and discarded. */
  void onBytesDiscarded(int bytes);

  /** Writes a response after all pending ones, and then closes the connection. */
  void writeFinalResponse(Object message);
}
