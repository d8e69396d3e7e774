package io.umberpath.node.proxy.inbound;

/** What can be true of the part of a request's body that has been read. */
public enum BodyCondition {
  /** Enough has been read to tell its hash, see {@link RequestBody#hash}. */
  KNOWN,
  /** All of it is held, or as much as may be. */
  HELD,
  /** All that has been read can be sent again. */
  REPLAYABLE
}
