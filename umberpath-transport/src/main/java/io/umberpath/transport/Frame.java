package io.umberpath.transport;

import java.nio.ByteBuffer;

/**
 * One decoded frame.
 *
 * @param kind what the payload is
 * @param payload the payload; owned by the receiver
 */
record Frame(FrameKind kind, byte[] payload) {
  /** Version of the protocol between nodes that this build speaks. */
  static final byte PROTOCOL_VERSION = 1;

  /** Bytes of the length field. */
  static final int LENGTH_BYTES = Integer.BYTES;

  /** Bytes of the version and kind fields, which the length includes. */
  static final int VERSION_AND_KIND_BYTES = 2;

  /** Bytes before the payload. */
  static final int HEADER_BYTES = LENGTH_BYTES + VERSION_AND_KIND_BYTES;

  private static final byte[] NO_PAYLOAD = {};

  /** Encodes a frame without payload. */
  static byte[] encode(FrameKind kind) {
    return encode(kind, NO_PAYLOAD);
  }

  /** Encodes a frame. */
  static byte[] encode(FrameKind kind, byte[] payload) {
    return ByteBuffer.allocate(HEADER_BYTES + payload.length)
        .putInt(VERSION_AND_KIND_BYTES + payload.length)
        .put(PROTOCOL_VERSION)
        .put(kind.code())
        .put(payload)
        .array();
  }

  /** Whether an encoded frame carries a control message. */
  static boolean isMessage(byte[] frame) {
    return frame[HEADER_BYTES - 1] == FrameKind.MESSAGE.code();
  }
}
