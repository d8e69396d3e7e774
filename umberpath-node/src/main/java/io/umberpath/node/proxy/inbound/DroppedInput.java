package io.umberpath.node.proxy.inbound;

import java.util.concurrent.TimeUnit;

/**
 * What a peer sent that was dropped, since its connection's output had ended. The connection's lock
 * guards it.
 */
final class DroppedInput {
  private long endedNanos;
  private long firstNanos;
  private long bytes;

  /** The output ends. */
  void outputEnds() {
    endedNanos = System.nanoTime();
  }

  /** Bytes have been dropped. */
  void add(int count) {
    if (bytes == 0) {
      firstNanos = System.nanoTime();
    }
    bytes += count;
  }

  long bytes() {
    return bytes;
  }

  /** Time from the end of the output until the first of them were read, milliseconds. */
  long afterMillis() {
    return bytes == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(firstNanos - endedNanos);
  }
}
