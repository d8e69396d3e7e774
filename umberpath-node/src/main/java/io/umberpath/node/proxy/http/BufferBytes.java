package io.umberpath.node.proxy.http;

import org.glassfish.grizzly.Buffer;

/** Copies the content of codec buffers. */
public final class BufferBytes {
  private BufferBytes() {}

  /** Copies the remaining bytes without moving the buffer's position. */
  public static byte[] copyOf(Buffer content) {
    byte[] bytes = new byte[content.remaining()];
    content.duplicate().get(bytes);
    return bytes;
  }
}
