package io.umberpath.node.proxy.http;

import java.util.Optional;

/** The head of a message that was read: its own copy, which outlives the read. Immutable. */
public interface MessageHead {
  /** Its header fields. */
  HeaderFields fields();

  /** Length of its body, bytes; -1 if it states none. */
  long contentLength();

  /** Whether its body comes in chunks. */
  boolean isChunked();

  /** Value of the first header field of a name, compared without case. */
  default Optional<String> field(String name) {
    return fields().first(name);
  }
}
