package io.umberpath.transport;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Decodes the byte stream of one connection into frames. The buffer grows with the bytes received,
 * not with the length that the peer announces. Must not be used again after an error. Not
 * thread-safe.
 */
final class FrameDecoder {
  private static final int INITIAL_PAYLOAD_BYTES = 4096;
  private static final byte[] NO_PAYLOAD = {};

  private final ByteBuffer header = ByteBuffer.allocate(Frame.HEADER_BYTES);
  private int maxFrameBytes;
  private FrameKind kind;
  private byte[] payload = NO_PAYLOAD;
  private int payloadLength;
  private int payloadFilled;

  /**
   * Creates a decoder.
   *
   * @param maxFrameBytes maximum frame size, including the header
   */
  FrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Sets the maximum size of the frames that follow. */
  void setMaxFrameBytes(int newMaxFrameBytes) {
    maxFrameBytes = newMaxFrameBytes;
  }

  /** Whether a frame has been received in part. */
  boolean isInsideFrame() {
    return header.position() > 0;
  }

  /**
   * Consumes input up to the end of the current frame.
   *
   * @return the frame, empty if the input ended before the frame, or an error for which the
   *     connection must be closed
   */
  Either<TransportError, Optional<Frame>> next(ByteBuffer input) {
    if (header.hasRemaining()) {
      fillHeader(input);
      if (header.hasRemaining()) {
        return Either.right(Optional.empty());
      }
      Optional<TransportError> error = readHeader();
      if (error.isPresent()) {
        return Either.left(error.get());
      }
    }
    fillPayload(input);
    return Either.right(
        payloadFilled < payloadLength ? Optional.empty() : Optional.of(finishFrame()));
  }

  private void fillHeader(ByteBuffer input) {
    while (header.hasRemaining() && input.hasRemaining()) {
      header.put(input.get());
    }
  }

  private Optional<TransportError> readHeader() {
    int length = header.getInt(0);
    if (length < Frame.VERSION_AND_KIND_BYTES) {
      return error(TransportFault.MALFORMED_FRAME, "frame length " + length + " is too small");
    }
    if (length > maxFrameBytes - Frame.LENGTH_BYTES) {
      return error(
          TransportFault.OVERSIZED_FRAME,
          "frame length " + length + " exceeds the limit of " + maxFrameBytes + " bytes");
    }
    byte version = header.get(Frame.LENGTH_BYTES);
    if (version != Frame.PROTOCOL_VERSION) {
      return error(
          TransportFault.WRONG_VERSION,
          "protocol version " + version + ", expected " + Frame.PROTOCOL_VERSION);
    }
    byte code = header.get(Frame.LENGTH_BYTES + 1);
    Optional<FrameKind> known = FrameKind.fromCode(code);
    if (known.isEmpty()) {
      return error(TransportFault.MALFORMED_FRAME, "frame kind " + code + " is unknown");
    }
    kind = known.get();
    payloadLength = length - Frame.VERSION_AND_KIND_BYTES;
    payload = new byte[Math.min(payloadLength, INITIAL_PAYLOAD_BYTES)];
    return Optional.empty();
  }

  private void fillPayload(ByteBuffer input) {
    while (payloadFilled < payloadLength && input.hasRemaining()) {
      if (payloadFilled == payload.length) {
        payload = Arrays.copyOf(payload, (int) Math.min(payloadLength, 2L * payload.length));
      }
      int count = Math.min(payload.length - payloadFilled, input.remaining());
      input.get(payload, payloadFilled, count);
      payloadFilled += count;
    }
  }

  private Frame finishFrame() {
    Frame frame = new Frame(kind, payload);
    header.clear();
    payload = NO_PAYLOAD;
    payloadLength = 0;
    payloadFilled = 0;
    return frame;
  }

  private static Optional<TransportError> error(TransportFault fault, String detail) {
    return Optional.of(new TransportError(fault, detail));
  }
}
