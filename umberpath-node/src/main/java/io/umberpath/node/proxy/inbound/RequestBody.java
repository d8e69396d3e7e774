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
  private static final int MAX_UNASKED_BYTES = 16 * 1024;

  /** Longest rest of a refused body that is read and dropped, bytes. */
  private static final long MAX_DROPPED_BYTES = 64 * 1024;

  private final ByteArrayOutputStream kept = new ByteArrayOutputStream(0);
  private boolean replayable = true;
  private boolean complete;
  private long received;
  private HeaderFields trailers = HeaderFields.NONE;
  private OptionalLong hash = OptionalLong.empty();

  /** Adds bytes that no attempt has taken yet; they are kept whatever their number. */
  synchronized void hold(Buffer content) {
    received += content.remaining();
    keep(content);
  }

  /** Notes bytes that are passed on to the attempt under way. */
  synchronized void passOn(Buffer content) {
    received += content.remaining();
    if (!replayable) {
      return;
    }
    if (kept.size() + content.remaining() <= REPLAY_LIMIT_BYTES) {
      keep(content);
      return;
    }
    hash = OptionalLong.of(RequestFingerprint.bodyOf(beginningWith(content)));
    replayable = false;
    kept.reset();
  }

  private void keep(Buffer content) {
    byte[] bytes = copy(content, content.remaining());
    kept.write(bytes, 0, bytes.length);
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
  private byte[] beginningWith(Buffer content) {
    int missing = Math.max(0, RequestFingerprint.BODY_PREFIX_BYTES - kept.size());
    kept.writeBytes(copy(content, Math.min(missing, content.remaining())));
    return kept.toByteArray();
  }

  /**
   * Hash of its beginning, worked out when it is asked for; empty while too little has been
   * received to tell. See {@link RequestFingerprint#body}.
   */
  public synchronized OptionalLong hash() {
    boolean enough = complete || kept.size() >= RequestFingerprint.BODY_PREFIX_BYTES;
    if (hash.isEmpty() && enough) {
      hash = OptionalLong.of(RequestFingerprint.bodyOf(kept.toByteArray()));
    }
    return hash;
  }

  synchronized void complete(HeaderFields newTrailers) {
    complete = true;
    trailers = newTrailers;
  }

  /** Whether the caller has sent it all. */
  synchronized boolean isComplete() {
    return complete;
  }

  /**
   * Whether the connection rather ends than that the rest of a refused body is read and dropped: it
   * is long, or of unknown length; or its caller waits to be told to send it, and may send another
   * request in its place.
   */
  synchronized boolean isRestUnwanted(RequestHead request) {
    if (complete) {
      return false;
    }
    long stated = request.contentLength();
    boolean isShort = stated >= 0 && stated - received <= MAX_DROPPED_BYTES;
    return !isShort || request.field(Header.Expect.toString()).isPresent();
  }

  /** Whether everything received can be sent again. */
  public synchronized boolean isReplayable() {
    return replayable;
  }

  /** Whether all of it is held, or as much as may be: its hash can be told then. */
  public synchronized boolean isHeld() {
    return complete || isFull();
  }

  /** Whether it is not there yet, or too long to be sent on the chance that it is wanted. */
  synchronized boolean isLongOrIncomplete() {
    return !complete || kept.size() > MAX_UNASKED_BYTES;
  }

  /** Whether as much is held as may be. */
  synchronized boolean isFull() {
    return kept.size() >= REPLAY_LIMIT_BYTES;
  }

  /** The bytes to send first. */
  synchronized byte[] kept() {
    return kept.toByteArray();
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
