package io.umberpath.lab.caller;

import io.umberpath.lab.workload.RequestKind;
import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * How often each kind of request is made.
 *
 * @param weights relative frequency by kind
 */
public record CallMix(Map<RequestKind, Integer> weights) {
  private static final int MIN_UPLOAD_BYTES = 1_024;
  private static final int MAX_UPLOAD_BYTES = 262_144;
  private static final int SMALL_BODY_BYTES = 200;
  private static final int MAX_FILLER_BYTES = 8_192;

  /** Copies the weights. */
  public CallMix {
    weights = new EnumMap<>(weights);
  }

  Call next(SplittableRandom random, String requestId) {
    RequestKind kind = kind(random);
    byte[] body = new byte[bodyBytes(kind, random)];
    random.nextBytes(body);
    return new Call(kind, requestId, body, random.nextInt(MAX_FILLER_BYTES));
  }

  private RequestKind kind(SplittableRandom random) {
    int total = weights.values().stream().mapToInt(Integer::intValue).sum();
    int drawn = random.nextInt(total);
    for (Map.Entry<RequestKind, Integer> entry : weights.entrySet()) {
      drawn -= entry.getValue();
      if (drawn < 0) {
        return entry.getKey();
      }
    }
    throw new IllegalStateException("weights changed while drawing");
  }

  private static int bodyBytes(RequestKind kind, SplittableRandom random) {
    return switch (kind) {
      case FEES, ORDERS -> SMALL_BODY_BYTES;
      case UPLOADS -> random.nextInt(MIN_UPLOAD_BYTES, MAX_UPLOAD_BYTES);
      case LOOKUPS, BROWSE -> 0;
    };
  }
}
