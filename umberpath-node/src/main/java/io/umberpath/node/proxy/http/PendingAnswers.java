package io.umberpath.node.proxy.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;

/** The answers that a caller's connection still owes, for what the codec itself answers. */
public interface PendingAnswers {
  /** Where a connection's own is kept. */
  Attribute<PendingAnswers> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.pendingAnswers");

  /** Makes it the connection's own. */
  static void attach(Connection<?> connection, PendingAnswers answers) {
    ATTRIBUTE.set(connection, answers);
  }

  /** The connection's own; null if it has none. */
  static PendingAnswers of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  /** Whether nothing more is written; what still arrives is dropped. */
  boolean isEnded();

  /** Whether the codec keeps bytes behind the message that it hands on. */
  void keepsUndecoded(boolean isKept);

  /** Bytes have arrived since, and are dropped. */
  void dropped(int bytes);

  /** Writes an answer after all that are owed, and ends the connection. */
  void writeLast(Object message);
}
