package io.umberpath.transport;

import java.util.Optional;

/** Type of a frame, which determines its payload. */
enum FrameKind {
  /** A {@link Hello}; must be the first frame in each direction and must not be repeated. */
  HELLO(1),
  /** A control message. */
  MESSAGE(2),
  /** Announces that the sender sends no further messages on this connection; no payload. */
  GOODBYE(3),
  /** Keep-alive; no payload. */
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
