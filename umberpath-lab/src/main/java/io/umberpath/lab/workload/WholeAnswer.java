package io.umberpath.lab.workload;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * The one right answer to a request: a first line that names the request and what arrived of its
 * body, then filler that depends on the request id. Callers compute it too and compare every byte.
 */
public final class WholeAnswer {
  /** Header that names the request, in requests and answers. */
  public static final String REQUEST_ID = "Idempotency-Key";

  /** Query parameter that asks for this many bytes of filler. */
  public static final String FILLER_PARAMETER = "bytes";

  /** Largest filler, bytes. */
  public static final int MAX_FILLER_BYTES = 1 << 20;

  private static final int FIRST_PRINTABLE = ' ';
  private static final int PRINTABLE_COUNT = 95;

  private WholeAnswer() {}

  /**
   * The answer's body.
   *
   * @param requestId the request's id
   * @param kind what was asked
   * @param bodySha256 lower-case hex digest of the request's body
   * @param bodyBytes length of the request's body
   * @param fillerBytes length of the filler
   */
  public static byte[] of(
      String requestId, RequestKind kind, String bodySha256, long bodyBytes, int fillerBytes) {
    String line = requestId + " " + kind + " " + bodySha256 + " " + bodyBytes + "\n";
    byte[] head = line.getBytes(StandardCharsets.UTF_8);
    byte[] whole = Arrays.copyOf(head, head.length + fillerBytes);
    SplittableRandom filler = new SplittableRandom(seed(requestId));
    for (int index = head.length; index < whole.length; index++) {
      whole[index] = (byte) (FIRST_PRINTABLE + filler.nextInt(PRINTABLE_COUNT));
    }
    return whole;
  }

  private static long seed(String requestId) {
    return Hashing.farmHashFingerprint64().hashString(requestId, StandardCharsets.UTF_8).asLong();
  }
}
