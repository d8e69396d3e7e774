package io.umberpath.node.proxy.origin;

import io.umberpath.node.proxy.http.BufferBytes;
import io.umberpath.node.proxy.http.ResponseHead;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Buffers a response with a small {@code Content-Length} until it is complete. If a response fails
 * after part of it was forwarded, the client's connection must be closed, which also loses the
 * pipelined responses after it; while nothing has been forwarded, the request can still be rejected
 * or retried.
 */
public final class ShortResponseBuffer {
  /** Largest body that is buffered, bytes; larger ones are forwarded as they arrive. */
  private static final long MAX_BYTES = 16 * 1024;

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private ResponseHead head;

  /**
   * Adds a part; returns the part to forward now, or empty while the response is being buffered.
   */
  public Optional<ResponsePart> add(ResponsePart part) {
    boolean startsBuffering = part.first() && !part.last() && isShort(part.head());
    if (startsBuffering) {
      head = part.head();
    }
    if (head == null) {
      return Optional.of(part);
    }
    appendToBody(part.content());
    return part.last() ? Optional.of(bufferedResponse(part)) : Optional.empty();
  }

  private static boolean isShort(ResponseHead head) {
    long length = head.contentLength();
    return !head.isChunked() && length >= 0 && length <= MAX_BYTES;
  }

  private void appendToBody(Buffer content) {
    if (content == null) {
      return;
    }
    body.writeBytes(BufferBytes.copyOf(content));
  }

  private ResponsePart bufferedResponse(ResponsePart last) {
    Buffer content = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body.toByteArray());
    return new ResponsePart(head, true, content, true, last.trailers());
  }
}
