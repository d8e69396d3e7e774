package io.umberpath.node.proxy.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;

/** Encodes body content in the chunked transfer coding (RFC 9112, section 7.1). */
public final class ChunkedEncoder {
  private static final int FRAMING_OVERHEAD_BYTES = 32;
  private static final byte[] CRLF = ascii("\r\n");
  private static final byte[] LAST_CHUNK = ascii("0\r\n");

  private ChunkedEncoder() {}

  /**
   * Encodes the content as one chunk unless it is empty, followed by the last chunk and the
   * trailers if it ends the body.
   *
   * @param trailers written after the last chunk
   */
  public static byte[] encode(Buffer content, boolean last, HeaderFields trailers) {
    ByteArrayOutputStream bytes =
        new ByteArrayOutputStream(content.remaining() + FRAMING_OVERHEAD_BYTES);
    if (content.hasRemaining()) {
      bytes.writeBytes(ascii(Integer.toHexString(content.remaining())));
      bytes.writeBytes(CRLF);
      bytes.writeBytes(BufferBytes.copyOf(content));
      bytes.writeBytes(CRLF);
    }
    if (last) {
      bytes.writeBytes(LAST_CHUNK);
      writeTrailers(bytes, trailers);
      bytes.writeBytes(CRLF);
    }
    return bytes.toByteArray();
  }

  private static void writeTrailers(ByteArrayOutputStream bytes, HeaderFields trailers) {
    for (HeaderFields.Field field : trailers.all()) {
      String line = field.name() + ": " + field.value();
      bytes.writeBytes(line.getBytes(StandardCharsets.ISO_8859_1));
      bytes.writeBytes(CRLF);
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
