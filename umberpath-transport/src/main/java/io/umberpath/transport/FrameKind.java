package io.umberpath.transport;

import java.util.Optional;

/** What the payload of a frame is. */
enum FrameKind {
  /** A {@link Hello}; the first frame in each direction, and only the first. */
  HELLO(1),
  /** A control message. */
  MESSAGE(2),
  /** The sender will send nothing more on this connection; no payload. */
  GOODBYE(3),
  /** Shows that the sender lives; no payload. */
  PING(4);

  private static final FrameKind[] KINDS = values();

  private final byte code;

  FrameKind(int code) {
    this.code = (byte) code;
  }

  byte code() {
    return code;
  }

  static Optional<FrameKind> fromCode(byte code) {
    for (FrameKind kind : KINDS) {
      if (kind.code == code) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
