package io.umberpath.node.proxy.origin;

import io.umberpath.node.proxy.http.AnswerHead;
import io.umberpath.node.proxy.http.BufferBytes;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Holds an answer that states a short length until it is whole. One that has begun to go out and
 * breaks off can only end its caller's connection, with the answers behind it; one that has not can
 * be refused, or asked for again.
 */
public final class ShortAnswer {
  /** Longest body that is held, bytes: longer ones are passed on as they come. */
  private static final long MAX_BYTES = 16 * 1024;

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private AnswerHead head;

  /** Takes a piece; returns what is to be passed on now, if anything is. */
  public Optional<AnswerPart> take(AnswerPart part) {
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

  private static boolean isShort(AnswerHead head) {
    long length = head.contentLength();
    return !head.isChunked() && length >= 0 && length <= MAX_BYTES;
  }

  private void appendToBody(Buffer content) {
    if (content == null) {
      return;
    }
    body.writeBytes(BufferBytes.copyOf(content));
  }

  private AnswerPart bufferedResponse(AnswerPart last) {
    Buffer content = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body.toByteArray());
    return new AnswerPart(head, true, content, true, last.trailers());
  }
}
