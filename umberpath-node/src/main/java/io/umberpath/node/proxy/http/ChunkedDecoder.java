package io.umberpath.node.proxy.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.glassfish.grizzly.Buffer;

/** Incremental decoder for one chunked body. Not thread-safe. */
final class ChunkedDecoder {
  /** Outcome of a {@link #decode} call. */
  enum Result {
    /** The buffer ended within a line of the framing; its remaining bytes must be kept. */
    NEEDS_MORE,
    /** The buffer is positioned at body bytes, see {@link #dataLength()}. */
    DATA,
    /** The body is complete; the buffer is positioned after it. */
    END
  }

  private enum State {
    SIZE,
    DATA,
    DATA_END,
    TRAILERS
  }

  private static final int MAX_SIZE_DIGITS = 15;
  private static final Set<String> FORBIDDEN_TRAILERS =
      Set.of("content-length", "transfer-encoding", "host", "connection", "authorization");

  private final int maxTrailerBytes;
  private final Map<String, String> trailers = new LinkedHashMap<>();
  private State state = State.SIZE;
  private long chunkRemaining;
  private int dataLength;
  private int trailerBytes;

  ChunkedDecoder(int maxTrailerBytes) {
    this.maxTrailerBytes = maxTrailerBytes;
  }

  /** Number of body bytes at the buffer's position, valid after {@link Result#DATA}. */
  int dataLength() {
    return dataLength;
  }

  /** Trailer fields, complete after {@link Result#END}. */
  Map<String, String> trailers() {
    return trailers;
  }

  /**
   * Continues decoding at the buffer's position.
   *
   * @throws MalformedMessageException at the first violation of the grammar
   */
  Result decode(Buffer buffer) {
    while (true) {
      if (state == State.DATA) {
        return buffer.hasRemaining() ? readData(buffer) : Result.NEEDS_MORE;
      }
      String line = readLine(buffer);
      if (line == null) {
        return Result.NEEDS_MORE;
      }
      if (state == State.SIZE) {
        chunkRemaining = parseSize(line);
        state = chunkRemaining == 0 ? State.TRAILERS : State.DATA;
      } else if (state == State.DATA_END) {
        requireEmpty(line);
        state = State.SIZE;
      } else if (line.isEmpty()) {
        return Result.END;
      } else {
        addTrailer(line);
      }
    }
  }

  private Result readData(Buffer buffer) {
    dataLength = (int) Math.min(chunkRemaining, buffer.remaining());
    chunkRemaining -= dataLength;
    if (chunkRemaining == 0) {
      state = State.DATA_END;
    }
    return Result.DATA;
  }

  private String readLine(Buffer buffer) {
    int start = buffer.position();
    int limit = state == State.TRAILERS ? maxTrailerBytes : MAX_SIZE_DIGITS;
    for (int index = start; index < buffer.limit(); index++) {
      byte value = buffer.get(index);
      if (value == '\r') {
        return endLine(buffer, start, index);
      }
      if (value == '\n' || index - start >= limit) {
        throw new MalformedMessageException("chunk line is too long or has an LF without CR");
      }
    }
    return null;
  }

  private static String endLine(Buffer buffer, int start, int end) {
    if (end + 1 == buffer.limit()) {
      return null;
    }
    if (buffer.get(end + 1) != '\n') {
      throw new MalformedMessageException("chunk line has a CR without LF");
    }
    byte[] bytes = new byte[end - start];
    buffer.get(bytes);
    buffer.position(end + 2);
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private static long parseSize(String line) {
    if (line.isEmpty()) {
      throw new MalformedMessageException("chunk size is empty");
    }
    long size = 0;
    for (int index = 0; index < line.length(); index++) {
      char digit = line.charAt(index);
      int value = digit < 0x80 ? Character.digit(digit, 16) : -1;
      if (value < 0) {
        throw new MalformedMessageException("chunk size is not a plain hexadecimal number");
      }
      size = size * 16 + value;
    }
    return size;
  }

  private static void requireEmpty(String line) {
    if (!line.isEmpty()) {
      throw new MalformedMessageException("chunk data is longer than its size");
    }
  }

  private void addTrailer(String line) {
    trailerBytes += line.length() + 2;
    int colon = line.indexOf(':');
    if (trailerBytes > maxTrailerBytes || colon <= 0) {
      throw new MalformedMessageException("trailers are too large, or a trailer line has no name");
    }
    String name = line.substring(0, colon);
    boolean plain = name.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '(' && c != ')');
    String value = line.substring(colon + 1).strip();
    if (!plain || value.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 0x7f)) {
      throw new MalformedMessageException(
          "trailer has an invalid name or a control byte in its value");
    }
    if (!FORBIDDEN_TRAILERS.contains(name.toLowerCase(Locale.ROOT))
        && !ProxyHeaders.isInternal(name)) {
      trailers.put(name, value);
    }
  }
}
