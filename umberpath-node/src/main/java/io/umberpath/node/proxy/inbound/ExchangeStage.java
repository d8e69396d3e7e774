package io.umberpath.node.proxy.inbound;

/**
 * The stage of a request:
 *
 * <pre>
 * PENDING ──▶ CONNECTING ──▶ [HEAD_SENT ──▶] SENT ──▶ RESPONDING ──▶ DONE
 *    ▲            │                │            │
 *    └────────────┴────────────────┴────────────┘ another attempt
 * </pre>
 *
 * and to {@link #DONE} from any stage.
 */
enum ExchangeStage {
  /** No attempt is in flight. */
  PENDING,
  /** An attempt waits for a connection; none of it has been sent. */
  CONNECTING,
  /**
   * Only the head was sent, with {@code Expect: 100-continue}. The request does not run before the
   * origin asks for the body.
   */
  HEAD_SENT,
  /** The request, or part of it, may have reached the origin. */
  SENT,
  /** The client has received part of the response. */
  RESPONDING,
  /** The request has ended. */
  DONE;

  /** Whether the current attempt may have reached its origin. */
  boolean mayHaveReachedOrigin() {
    return this == SENT || this == RESPONDING;
  }
}
