package io.umberpath.transport;

import io.umberpath.control.ControlMessage;
import io.umberpath.model.ChangeResult;

/** Creates control messages that carry a number. */
final class TestMessages {
  private TestMessages() {}

  static MessageCodec<ControlMessage> codec() {
    return new MessageCodec<>(ControlMessage.class);
  }

  static ControlMessage message(int number) {
    return message(number, "text");
  }

  static ControlMessage message(int number, String text) {
    return new ControlMessage.ChangeOutcome(1, 1, number, new ChangeResult.Unknown(text));
  }

  static int numberOf(ControlMessage message) {
    return (int) ((ControlMessage.ChangeOutcome) message).number();
  }
}
