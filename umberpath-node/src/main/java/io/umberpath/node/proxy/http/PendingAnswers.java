package io.umberpath.node.proxy.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;

/**
 * Queue of the responses that are still to be written on a client's connection. The codec uses it
 * to order the error responses that it sends itself.
 */
public interface PendingAnswers {
  /** Attribute that holds the queue of a connection. */
  Attribute<PendingAnswers> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.pendingResponses");

  /** Attaches the queue to a connection. */
  static void attach(Connection<?> connection, PendingAnswers pending) {
    ATTRIBUTE.set(connection, pending);
  }

  /** Returns the queue of a connection; null if none is attached. */
  static PendingAnswers of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  /**
   * Whether the connection accepts no more responses; bytes received from then on are discarded.
   */
  boolean isEnded();

  /** Tells whether the codec holds received bytes after the message that it passed on. */
  void keepsUndecoded(boolean hasUndecodedBytes);

  /** Reports bytes that were received after the end and discarded. */
  void dropped(int bytes);

  /** Writes a response after all pending ones, and then closes the connection. */
  void writeLast(Object message);
}
