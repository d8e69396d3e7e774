package io.umberpath.node.proxy.inbound;

/**
 * Where a request stands:
 *
 * <pre>
 * DECIDING ──▶ CONNECTING ──▶ [ASKING ──▶] SENT ──▶ ANSWERING ──▶ DONE
 *     ▲            │               │           │
 *     └────────────┴───────────────┴───────────┘ another attempt
 * </pre>
 *
 * and to {@link #DONE} from anywhere.
 */
enum ExchangeStage {
  /** Nothing is under way anywhere. */
  PENDING,
  /** An attempt waits for a connection; nothing of it has been sent. */
  CONNECTING,
  /** The head was sent alone: nothing runs before the origin has asked for the body. */
  HEAD_SENT,
  /** The request, or its beginning, may have reached the origin. */
  SENT,
  /** The caller has got the beginning of the answer. */
  RESPONDING,
  /** Over. */
  DONE;

  /** Whether the attempt under way may have reached its origin. */
  boolean mayHaveReachedOrigin() {
    return this == SENT || this == RESPONDING;
  }
}
