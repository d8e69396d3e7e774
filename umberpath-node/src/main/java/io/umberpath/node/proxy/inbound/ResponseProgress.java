package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.origin.AnswerPart;

/** How far the answer of one exchange has gone out. The exchange's lock guards it. */
final class ResponseProgress {
  /** Time without a piece after which an answer counts as standing still, milliseconds. */
  private static final long STALL_MILLIS = 1_000;

  private int status;
  private long lastPartMillis;

  /** A piece is about to go out. */
  void onPart(AnswerPart part, long nowMillis) {
    lastPartMillis = nowMillis;
    if (part.first()) {
      status = part.head().status();
    }
  }

  /** Status of the answer; 0 before its first piece. */
  int status() {
    return status;
  }

  /** Whether it has begun, and a piece has come lately. */
  boolean isActive(long nowMillis) {
    return status != 0 && nowMillis - lastPartMillis < STALL_MILLIS;
  }
}
