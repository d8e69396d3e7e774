package io.umberpath.node.proxy.http;

import org.glassfish.grizzly.Buffer;

/** Copies what a buffer of the codec holds. */
public final class BufferBytes {
  private BufferBytes() {}

  /** A copy of what remains; the buffer's own position stays. */
  public static byte[] copyOf(Buffer content) {
    byte[] bytes = new byte[content.remaining()];
    content.duplicate().get(bytes);
    return bytes;
  }
}
