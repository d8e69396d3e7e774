package io.umberpath.node.proxy.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;

/** Writes pieces of a body in the chunked transfer coding (RFC 9112, section 7.1). */
public final class ChunkedEncoder {
  private static final int FRAME_BYTES = 32;
  private static final byte[] LINE_END = ascii("\r\n");
  private static final byte[] LAST_CHUNK = ascii("0\r\n");

  private ChunkedEncoder() {}

  /**
   * A piece as a chunk, if it has any bytes, and what ends the body if it is the last.
   *
   * @param trailers written behind the last piece
   */
  public static byte[] encode(Buffer content, boolean last, HeaderFields trailers) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(content.remaining() + FRAME_BYTES);
    if (content.hasRemaining()) {
      bytes.writeBytes(ascii(Integer.toHexString(content.remaining())));
      bytes.writeBytes(LINE_END);
      bytes.writeBytes(BufferBytes.copyOf(content));
      bytes.writeBytes(LINE_END);
    }
    if (last) {
      bytes.writeBytes(LAST_CHUNK);
      writeTrailers(bytes, trailers);
      bytes.writeBytes(LINE_END);
    }
    return bytes.toByteArray();
  }

  private static void writeTrailers(ByteArrayOutputStream bytes, HeaderFields trailers) {
    for (HeaderFields.Field field : trailers.all()) {
      String line = field.name() + ": " + field.value();
      bytes.writeBytes(line.getBytes(StandardCharsets.ISO_8859_1));
      bytes.writeBytes(LINE_END);
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
