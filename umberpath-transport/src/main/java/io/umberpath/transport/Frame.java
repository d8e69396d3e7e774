package io.umberpath.transport;

import java.nio.ByteBuffer;

/**
 * One decoded frame.
 *
 * @param kind the type of the frame
 * @param payload the payload; the receiver owns the array
 */
record Frame(FrameKind kind, byte[] payload) {
  /** Version of the node-to-node protocol that this build implements. */
  static final byte PROTOCOL_VERSION = 1;

  /** Size of the length field. */
  static final int LENGTH_BYTES = Integer.BYTES;

  /** Size of the version and kind fields, which the length field counts. */
  static final int VERSION_AND_KIND_BYTES = 2;

  /** Size of the header that precedes the payload. */
  static final int HEADER_BYTES = LENGTH_BYTES + VERSION_AND_KIND_BYTES;

  private static final byte[] NO_PAYLOAD = {};

  /** Encodes a frame without payload. */
  static byte[] encode(FrameKind kind) {
    return encode(kind, NO_PAYLOAD);
  }

  /** Encodes a frame, header included. */
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
