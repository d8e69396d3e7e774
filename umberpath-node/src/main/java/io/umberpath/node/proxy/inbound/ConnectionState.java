package io.umberpath.node.proxy.inbound;

/**
 * Where a caller's connection stands. It only moves on, under its own lock:
 *
 * <pre>
 * OPEN ──the last answer says so──▶ LAST_ANSWER ──it is written──▶ OUTPUT_ENDED ──the peer ends──▶ CLOSED
 *   └──────it rests for too long, or the process ends──────────────────▲
 * </pre>
 *
 * and to {@link #CLOSED} from anywhere when the connection is lost or an answer breaks off.
 */
enum ConnectionState {
  /** Requests are read, begun and answered. */
  OPEN,
  /** An answer under way is the last: it is finished, and no request behind it is begun. */
  LAST_ANSWER,
  /**
   * All that was to be written is; the peer is told that no more comes. What it still sends is read
   * and dropped, since closing over unread bytes would take away answers that it has not read.
   */
  OUTPUT_ENDED,
  /** Gone. */
  CLOSED;

  /** Whether nothing more is written. */
  boolean isOver() {
    return this == OUTPUT_ENDED || this == CLOSED;
  }
}
