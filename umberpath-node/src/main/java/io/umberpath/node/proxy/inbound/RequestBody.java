package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.io.ByteArrayOutputStream;
import java.util.OptionalLong;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.util.Header;

/**
 * The received part of a request body. Up to a limit it is buffered for retries; beyond the limit
 * it is only forwarded. Thread-safe.
 */
public final class RequestBody {
  /** Most bytes buffered for a retry. */
  static final int REPLAY_LIMIT_BYTES = 64 * 1024;

  /** Longest body that is sent without waiting for 100 (Continue), bytes. */
  private static final int MAX_BYTES_WITHOUT_CONTINUE = 16 * 1024;

  /** Longest remainder of a refused request's body that is read and discarded, bytes. */
  private static final long MAX_DISCARDED_BYTES = 64 * 1024;

  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream(0);
  private boolean isReplayable = true;
  private boolean isComplete;
  private long received;
  private HeaderFields trailers = HeaderFields.NONE;
  private OptionalLong hash = OptionalLong.empty();

  /** Buffers bytes that no attempt has taken yet, without a limit. */
  synchronized void buffer(Buffer content) {
    received += content.remaining();
    append(content);
  }

  /** Records bytes that are forwarded to the current attempt. */
  synchronized void noteForwarded(Buffer content) {
    received += content.remaining();
    if (!isReplayable) {
      return;
    }
    if (buffered.size() + content.remaining() <= REPLAY_LIMIT_BYTES) {
      append(content);
      return;
    }
    hash = OptionalLong.of(RequestFingerprint.hashBody(prefixWith(content)));
    isReplayable = false;
    buffered.reset();
  }

  private void append(Buffer content) {
    byte[] bytes = copy(content, content.remaining());
    buffered.write(bytes, 0, bytes.length);
  }

  private static byte[] copy(Buffer content, int count) {
    byte[] bytes = new byte[count];
    int start = content.position();
    for (int index = 0; index < bytes.length; index++) {
      bytes[index] = content.get(start + index);
    }
    return bytes;
  }

  /**
   * The prefix of the body that is hashed: the buffered bytes, and as much of the new content as is
   * missing.
   */
  private byte[] prefixWith(Buffer content) {
    int missing = Math.max(0, RequestFingerprint.BODY_PREFIX_BYTES - buffered.size());
    buffered.writeBytes(copy(content, Math.min(missing, content.remaining())));
    return buffered.toByteArray();
  }

  /**
   * Hash of the body's prefix, computed on demand; empty while too little has been received. See
   * {@link RequestFingerprint#body}.
   */
  public synchronized OptionalLong hash() {
    boolean hasPrefix = isComplete || buffered.size() >= RequestFingerprint.BODY_PREFIX_BYTES;
    if (hash.isEmpty() && hasPrefix) {
      hash = OptionalLong.of(RequestFingerprint.hashBody(buffered.toByteArray()));
    }
    return hash;
  }

  synchronized void complete(HeaderFields newTrailers) {
    isComplete = true;
    trailers = newTrailers;
  }

  /** Whether the client has sent the complete body. */
  synchronized boolean isComplete() {
    return isComplete;
  }

  /**
   * Whether to close the connection rather than to read and discard the rest of a refused body: if
   * the rest is long or its length unknown, or if the client waits for 100 (Continue) and may send
   * another request instead of the body.
   */
  synchronized boolean isClosePreferredToDiscard(RequestHead request) {
    if (isComplete) {
      return false;
    }
    long declaredLength = request.contentLength();
    boolean isShort = declaredLength >= 0 && declaredLength - received <= MAX_DISCARDED_BYTES;
    return !isShort || request.field(Header.Expect.toString()).isPresent();
  }

  /** Whether all received bytes can be sent again. */
  public synchronized boolean isReplayable() {
    return isReplayable;
  }

  /** Whether the complete body, or as much as may be, is buffered; its hash is then known. */
  public synchronized boolean isBuffered() {
    return isComplete || isFull();
  }

  /** Whether the body is incomplete, or too long to send without waiting for 100 (Continue). */
  public synchronized boolean needsContinue() {
    return !isComplete || buffered.size() > MAX_BYTES_WITHOUT_CONTINUE;
  }

  /** Whether the buffer is full. */
  synchronized boolean isFull() {
    return buffered.size() >= REPLAY_LIMIT_BYTES;
  }

  /** The buffered bytes, which an attempt sends first. */
  synchronized byte[] buffered() {
    return buffered.toByteArray();
  }

  /** Whether the body exceeds a limit by its declared length or the bytes received so far. */
  synchronized boolean exceeds(long limitBytes, RequestHead request) {
    return Math.max(request.contentLength(), received) > limitBytes;
  }

  /** Number of bytes received. */
  public synchronized long received() {
    return received;
  }

  synchronized HeaderFields trailers() {
    return trailers;
  }
}
