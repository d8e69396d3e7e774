package io.umberpath.transport;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.umberpath.control.ControlMessage;
import java.util.List;

/** Messages of the transport's tests. */
final class TestMessages {
  private TestMessages() {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = Text.class, name = "t"),
    @JsonSubTypes.Type(value = Tree.class, name = "n")
  })
  interface TestMessage extends ControlMessage {}

  record Text(int number, String text) implements TestMessage {}

  record Tree(List<Tree> children) implements TestMessage {}

  static MessageCodec<TestMessage> codec() {
    return new MessageCodec<>(TestMessage.class);
  }

  @SuppressWarnings({"unchecked", "rawtypes"})
  static MessageCodec<ControlMessage> controlCodec() {
    return (MessageCodec) codec();
  }

  static ControlMessage message(int number) {
    return message(number, "text");
  }

  static ControlMessage message(int number, String text) {
    return new Text(number, text);
  }

  static int numberOf(ControlMessage message) {
    return ((Text) message).number();
  }
}
