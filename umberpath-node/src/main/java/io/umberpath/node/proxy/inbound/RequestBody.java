package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.io.ByteArrayOutputStream;
import java.util.OptionalLong;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.util.Header;

/**
 * What has been read of a request body. Its beginning is kept, up to a bound, so that another
 * attempt can send it again; beyond the bound it is only passed on. Thread-safe.
 */
public final class RequestBody {
  /** Most bytes kept for another attempt. */
  static final int REPLAY_LIMIT_BYTES = 64 * 1024;

  /** Longest body that is sent without being asked for, bytes. */
  private static final int MAX_BYTES_WITHOUT_CONTINUE = 16 * 1024;

  /** Longest rest of a refused body that is read and dropped, bytes. */
  private static final long MAX_DISCARDED_BYTES = 64 * 1024;

  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream(0);
  private boolean isReplayable = true;
  private boolean isComplete;
  private long received;
  private HeaderFields trailers = HeaderFields.NONE;
  private OptionalLong hash = OptionalLong.empty();

  /** Adds bytes that no attempt has taken yet; they are kept whatever their number. */
  synchronized void buffer(Buffer content) {
    received += content.remaining();
    append(content);
  }

  /** Notes bytes that are passed on to the attempt under way. */
  synchronized void noteForwarded(Buffer content) {
    received += content.remaining();
    if (!isReplayable) {
      return;
    }
    if (buffered.size() + content.remaining() <= REPLAY_LIMIT_BYTES) {
      append(content);
      return;
    }
    hash = OptionalLong.of(RequestFingerprint.bodyOf(prefixWith(content)));
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

  /** The beginning of the body, as far as it counts for its hash: what is kept, and more of it. */
  private byte[] prefixWith(Buffer content) {
    int missing = Math.max(0, RequestFingerprint.BODY_PREFIX_BYTES - buffered.size());
    buffered.writeBytes(copy(content, Math.min(missing, content.remaining())));
    return buffered.toByteArray();
  }

  /**
   * Hash of its beginning, worked out when it is asked for; empty while too little has been
   * received to tell. See {@link RequestFingerprint#body}.
   */
  public synchronized OptionalLong hash() {
    boolean hasPrefix = isComplete || buffered.size() >= RequestFingerprint.BODY_PREFIX_BYTES;
    if (hash.isEmpty() && hasPrefix) {
      hash = OptionalLong.of(RequestFingerprint.bodyOf(buffered.toByteArray()));
    }
    return hash;
  }

  synchronized void complete(HeaderFields newTrailers) {
    isComplete = true;
    trailers = newTrailers;
  }

  /** Whether the caller has sent it all. */
  synchronized boolean isComplete() {
    return isComplete;
  }

  /**
   * Whether the connection rather ends than that the rest of a refused body is read and dropped: it
   * is long, or of unknown length; or its caller waits to be told to send it, and may send another
   * request in its place.
   */
  synchronized boolean isClosePreferredToDiscard(RequestHead request) {
    if (isComplete) {
      return false;
    }
    long declaredLength = request.contentLength();
    boolean isShort = declaredLength >= 0 && declaredLength - received <= MAX_DISCARDED_BYTES;
    return !isShort || request.field(Header.Expect.toString()).isPresent();
  }

  /** Whether everything received can be sent again. */
  public synchronized boolean isReplayable() {
    return isReplayable;
  }

  /** Whether all of it is held, or as much as may be: its hash can be told then. */
  public synchronized boolean isHeld() {
    return isComplete || isFull();
  }

  /** Whether it is not there yet, or too long to be sent on the chance that it is wanted. */
  synchronized boolean needsContinue() {
    return !isComplete || buffered.size() > MAX_BYTES_WITHOUT_CONTINUE;
  }

  /** Whether as much is held as may be. */
  synchronized boolean isFull() {
    return buffered.size() >= REPLAY_LIMIT_BYTES;
  }

  /** The bytes to send first. */
  synchronized byte[] buffered() {
    return buffered.toByteArray();
  }

  /** Whether it is longer than a limit, as far as can be told. */
  synchronized boolean exceeds(long limitBytes, RequestHead request) {
    return Math.max(request.contentLength(), received) > limitBytes;
  }

  /** Bytes that have been read. */
  public synchronized long received() {
    return received;
  }

  synchronized HeaderFields trailers() {
    return trailers;
  }
}
