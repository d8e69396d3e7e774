package io.umberpath.lab.simulate;

import io.umberpath.control.ControlMessage;
import io.umberpath.transport.MessageCodec;
import java.util.HashMap;
import java.util.Map;

/**
 * Sizes each message by encoding it with the transport's codec. A message object that is sent to
 * many peers in a row is encoded once. The first messages of each kind are also decoded again.
 */
final class CborMessageSizer implements MessageSizer {
  /** Length, version and kind of a frame. */
  private static final int FRAME_HEADER_BYTES = 6;

  private static final int RECENT = 64;
  private static final int DECODED_PER_KIND = 50;

  private final MessageCodec<ControlMessage> codec = new MessageCodec<>(ControlMessage.class);
  private final ViolationLog violations;
  private final ControlMessage[] recentMessages = new ControlMessage[RECENT];
  private final int[] recentSizes = new int[RECENT];
  private final Map<Class<?>, Integer> decoded = new HashMap<>();

  CborMessageSizer(ViolationLog violations) {
    this.violations = violations;
  }

  @Override
  public int sizeBytes(ControlMessage message) {
    int place = System.identityHashCode(message) & (RECENT - 1);
    if (recentMessages[place] != message) {
      byte[] payload = codec.encode(message);
      if (decoded.merge(message.getClass(), 1, Integer::sum) <= DECODED_PER_KIND) {
        checkDecoded(message, payload);
      }
      recentMessages[place] = message;
      recentSizes[place] = FRAME_HEADER_BYTES + payload.length;
    }
    return recentSizes[place];
  }

  private void checkDecoded(ControlMessage message, byte[] payload) {
    codec
        .decode(payload)
        .peekLeft(error -> violations.add("message-survives-encoding", message + ": " + error))
        .filter(copy -> !copy.equals(message))
        .peek(
            copy ->
                violations.add("message-survives-encoding", message + " was decoded as " + copy));
  }
}
