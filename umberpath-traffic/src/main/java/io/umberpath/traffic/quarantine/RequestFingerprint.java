package io.umberpath.traffic.quarantine;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * What makes two requests the same one, whatever their ids and wherever they arrive: method, host,
 * path with query, the caller's credential, and the beginning of the body. SipHash of each part, so
 * that a part tells nothing of a credential in it.
 *
 * @param target hash of all but the body, known as soon as the head has been read
 * @param body hash of the body's first {@link #BODY_PREFIX_BYTES}
 */
public record RequestFingerprint(long target, long body) {
  /**
   * Bytes of a body that count: a long one is known before its end, and none has to be kept. Two
   * that begin alike for so long, at one path by one caller, are taken for the same.
   */
  public static final int BODY_PREFIX_BYTES = 16 * 1024;

  private static final HashFunction HASH = Hashing.sipHash24();
  private static final char SEPARATOR = '\n';
  private static final HexFormat HEX = HexFormat.of();
  private static final char SEPARATOR_IN_TEXT = '-';

  /**
   * Hash of all but the body.
   *
   * @param pathAndQuery as the caller sent it
   * @param credential what the caller says who it is with; null if it does not
   */
  public static long targetOf(String method, String host, String pathAndQuery, String credential) {
    Hasher hasher = HASH.newHasher();
    add(hasher, method);
    add(hasher, host);
    add(hasher, pathAndQuery);
    add(hasher, credential);
    return hasher.hash().asLong();
  }

  private static void add(Hasher hasher, String part) {
    hasher.putString(part == null ? "" : part, StandardCharsets.UTF_8).putChar(SEPARATOR);
  }

  /**
   * Hash of a body, of which at least the prefix that counts is given, or all of it.
   *
   * @param bytes its beginning
   */
  public static long bodyOf(byte[] bytes) {
    return HASH.hashBytes(bytes, 0, Math.min(bytes.length, BODY_PREFIX_BYTES)).asLong();
  }

  /** Its form in log lines and messages to operators, 33 characters. */
  public String text() {
    return HEX.toHexDigits(target) + SEPARATOR_IN_TEXT + HEX.toHexDigits(body);
  }
}
