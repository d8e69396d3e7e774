package io.umberpath.node.proxy.http;

import java.util.Optional;

/**
 * Start line and header fields of a received message. It is a copy that stays valid after the read
 * buffer is released. Immutable.
 */
public interface MessageHead {
  /** The header fields. */
  HeaderFields fields();

  /** Value of {@code Content-Length}, bytes; -1 if there is none. */
  long contentLength();

  /** Whether the body uses the chunked transfer coding. */
  boolean isChunked();

  /** Value of the first header field with the name, ignoring case. */
  default Optional<String> field(String name) {
    return fields().first(name);
  }
}
