package io.umberpath.traffic.quarantine;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Identifies equal requests, whatever their ids and wherever they arrive: method, host, path with
 * query, credential of the client, and the beginning of the body. Each part is hashed with SipHash,
 * so that a fingerprint does not reveal a credential.
 *
 * @param target hash of everything but the body, known once the header has been read
 * @param body hash of the first {@link #BODY_PREFIX_BYTES} of the body
 */
public record RequestFingerprint(long target, long body) {
  /**
   * Bytes of a body that are hashed, so that the fingerprint of a long body is known before its end
   * and no body has to be kept. Two bodies with the same prefix, at one path from one client, count
   * as equal.
   */
  public static final int BODY_PREFIX_BYTES = 16 * 1024;

  private static final HashFunction HASH = Hashing.sipHash24();
  private static final char SEPARATOR = '\n';
  private static final HexFormat HEX = HexFormat.of();
  private static final char SEPARATOR_IN_TEXT = '-';

  /**
   * Hashes everything but the body.
   *
   * @param pathAndQuery as the client sent it
   * @param credential credential of the client; null if there is none
   */
  public static long hashTarget(
      String method, String host, String pathAndQuery, String credential) {
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
   * Hashes a body.
   *
   * @param bytes the body, or at least the prefix that is hashed
   */
  public static long hashBody(byte[] bytes) {
    return HASH.hashBytes(bytes, 0, Math.min(bytes.length, BODY_PREFIX_BYTES)).asLong();
  }

  /** Text form for log lines and messages to operators, 33 characters. */
  public String text() {
    return HEX.toHexDigits(target) + SEPARATOR_IN_TEXT + HEX.toHexDigits(body);
  }
}
