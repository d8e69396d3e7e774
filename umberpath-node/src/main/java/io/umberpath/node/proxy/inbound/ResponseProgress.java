package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.origin.ResponseBuffer;
import io.umberpath.node.proxy.origin.ResponsePart;

/** Tracks how much of an exchange's response has been forwarded. Guarded by the exchange's lock. */
final class ResponseProgress {
  /** Time without a response part after which the response counts as stalled, milliseconds. */
  private static final long STALL_MILLIS = 1_000;

  private int status;
  private long lastPartMillis;
  private long forwardedBytes;

  /** Called before a part of the response is forwarded. */
  void onPart(ResponsePart part, long nowMillis) {
    lastPartMillis = nowMillis;
    forwardedBytes += part.content() == null ? 0 : part.content().remaining();
    if (part.first()) {
      status = part.head().status();
    }
  }

  /** Status of the response; 0 before its first part. */
  int status() {
    return status;
  }

  /** Whether the response is too long to be buffered. */
  boolean isLong() {
    return forwardedBytes > ResponseBuffer.MAX_BYTES;
  }

  /** Whether the response has started and a part was forwarded recently. */
  boolean isActive(long nowMillis) {
    return status != 0 && nowMillis - lastPartMillis < STALL_MILLIS;
  }
}
