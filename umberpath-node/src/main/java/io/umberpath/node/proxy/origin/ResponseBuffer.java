package io.umberpath.node.proxy.origin;

import io.umberpath.node.proxy.http.BufferBytes;
import io.umberpath.node.proxy.http.ResponseHead;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Buffers a response until it is complete or may be streamed. If a response fails after part of it
 * was forwarded, the client's connection must be closed, which also loses the responses of
 * pipelined requests after it; while nothing has been forwarded, the request can still be rejected
 * or retried. Responses with a small {@code Content-Length} are never streamed.
 */
public final class ResponseBuffer {
  /** Size at which no more is buffered, bytes. */
  public static final int MAX_BYTES = 128 * 1024;

  /** Largest stated length of a response that is always buffered, bytes. */
  private static final long MAX_SHORT_BYTES = 16 * 1024;

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  /** The latest part that is buffered; null if there is none. */
  private ResponsePart lastAdded;

  /** Whether parts are forwarded as they arrive. */
  private boolean isForwarding;

  /**
   * Adds a part; returns what to forward now, or empty while the response is being buffered.
   *
   * @param mayStream asked whether the response may be forwarded before it is complete; if so, its
   *     later parts are no longer buffered
   */
  public Optional<ResponsePart> add(ResponsePart part, BooleanSupplier mayStream) {
    if (isForwarding) {
      return Optional.of(part);
    }
    boolean isUnbuffered = part.first() && (part.last() || canStream(part, mayStream));
    if (isUnbuffered) {
      isForwarding = true;
      return Optional.of(part);
    }
    if (part.content() != null) {
      body.writeBytes(BufferBytes.copyOf(part.content()));
    }
    lastAdded = part;
    return takeBuffered(mayStream);
  }

  /** Returns the buffered parts as one if they may be forwarded now; empty otherwise. */
  public Optional<ResponsePart> takeBuffered(BooleanSupplier mayStream) {
    ResponsePart last = lastAdded;
    if (last == null || !last.last() && !canStream(last, mayStream)) {
      return Optional.empty();
    }
    lastAdded = null;
    isForwarding = true;
    Buffer content = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body.toByteArray());
    body.reset();
    return Optional.of(new ResponsePart(last.head(), true, content, last.last(), last.trailers()));
  }

  private static boolean canStream(ResponsePart part, BooleanSupplier mayStream) {
    return !isShort(part.head()) && mayStream.getAsBoolean();
  }

  private static boolean isShort(ResponseHead head) {
    long length = head.contentLength();
    return !head.isChunked() && length >= 0 && length <= MAX_SHORT_BYTES;
  }

  /** Number of body bytes that are buffered. */
  public int size() {
    return body.size();
  }
}
