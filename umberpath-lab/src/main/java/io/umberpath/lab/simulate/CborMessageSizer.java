package io.umberpath.lab.simulate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.umberpath.control.ControlMessage;

/**
 * Encodes each message as CBOR to size it. A message object that is sent to many peers in a row is
 * encoded once.
 */
final class CborMessageSizer implements MessageSizer {
  /** Length prefix of a frame. */
  private static final int FRAME_BYTES = 4;

  private static final int RECENT = 64;

  private final ObjectWriter writer = mapper().writer();
  private final ControlMessage[] recentMessages = new ControlMessage[RECENT];
  private final int[] recentSizes = new int[RECENT];

  private static ObjectMapper mapper() {
    return JsonMapper.builder(new CBORFactory())
        .addModule(new Jdk8Module())
        .disable(com.fasterxml.jackson.databind.SerializationFeature.FAIL_ON_EMPTY_BEANS)
        .build();
  }

  @Override
  public int sizeBytes(ControlMessage message) {
    int place = System.identityHashCode(message) & (RECENT - 1);
    if (recentMessages[place] != message) {
      recentMessages[place] = message;
      recentSizes[place] = FRAME_BYTES + encodedBytes(message);
    }
    return recentSizes[place];
  }

  private int encodedBytes(ControlMessage message) {
    try {
      return writer.writeValueAsBytes(message).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode " + message.getClass().getName(), e);
    }
  }
}
