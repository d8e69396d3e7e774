package io.umberpath.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class MessageCodecTest {
  private static final CBORMapper PLAIN = new CBORMapper();
  private static final List<Object> VALID = List.of("t", List.of(1, "x"));

  private final MessageCodec<TestMessage> codec = new MessageCodec<>(TestMessage.class);

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = Text.class, name = "t"),
    @JsonSubTypes.Type(value = Tree.class, name = "n")
  })
  private sealed interface TestMessage {}

  private record Text(int number, String text) implements TestMessage {}

  private record Tree(List<Tree> children) implements TestMessage {}

  @Test
  void decodesWhatItEncoded() {
    Text message = new Text(7, "grüße");
    assertThat(codec.decode(codec.encode(message)).get()).isEqualTo(message);
  }

  @Test
  void repeatedStringsAreWrittenOnce() throws Exception {
    Tree leaf = new Tree(List.of());
    Tree wide = new Tree(Collections.nCopies(50, leaf));
    int plainBytes = PLAIN.writeValueAsBytes(wide).length;
    assertThat(codec.encode(wide).length).isLessThan(plainBytes * 2 / 3);
  }

  @Test
  void componentsAreWrittenWithoutNames() throws Exception {
    assertThat(codec.decode(PLAIN.writeValueAsBytes(VALID)).get()).isEqualTo(new Text(1, "x"));
  }

  static Stream<Arguments> faultyPayloads() throws Exception {
    byte[] valid = PLAIN.writeValueAsBytes(VALID);
    return Stream.of(
        payloadCase("empty", new byte[0], TransportFault.MALFORMED_MESSAGE),
        payloadCase("garbage", new byte[] {-1, -2, 3, 4}, TransportFault.MALFORMED_MESSAGE),
        payloadCase(
            "truncated", Arrays.copyOf(valid, valid.length - 1), TransportFault.MALFORMED_MESSAGE),
        payloadCase(
            "trailing", Arrays.copyOf(valid, valid.length + 1), TransportFault.MALFORMED_MESSAGE),
        valueCase("null", null, TransportFault.MALFORMED_MESSAGE),
        valueCase("number", 3, TransportFault.MALFORMED_MESSAGE),
        valueCase("unknown type", List.of("zz", List.of()), TransportFault.UNKNOWN_MESSAGE_TYPE),
        valueCase("type alone", List.of("t"), TransportFault.MALFORMED_MESSAGE),
        valueCase("no type", List.of(List.of(1, "x")), TransportFault.MALFORMED_MESSAGE),
        valueCase(
            "object", Map.of("k", "t", "number", 1, "text", "x"), TransportFault.MALFORMED_MESSAGE),
        textCase("surplus component", 1, "x", 9),
        textCase("no component"),
        textCase("missing text", 1),
        textCase("null number", null, "x"),
        textCase("null text", 1, null),
        textCase("fraction for integer", 1.5, "x"),
        textCase("text for integer", "one", "x"),
        textCase("number out of range", 1L << 40, "x"),
        textCase("list for text", 1, List.of("x", "y")),
        valueCase("deep nesting", List.of("n", nested(40)), TransportFault.MALFORMED_MESSAGE),
        valueCase(
            "null element",
            List.of("n", List.of(Arrays.asList((Object) null))),
            TransportFault.MALFORMED_MESSAGE));
  }

  private static List<Object> nested(int depth) {
    return depth == 0 ? List.of(List.of()) : List.of(List.of(nested(depth - 1)));
  }

  private static Arguments textCase(String name, Object... components) throws Exception {
    return valueCase(
        name, List.of("t", Arrays.asList(components)), TransportFault.MALFORMED_MESSAGE);
  }

  private static Arguments valueCase(String name, Object value, TransportFault fault)
      throws Exception {
    return payloadCase(name, PLAIN.writeValueAsBytes(value), fault);
  }

  private static Arguments payloadCase(String name, byte[] payload, TransportFault fault) {
    return Arguments.of(name, payload, fault);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultyPayloads")
  void refusesFaultyPayloads(String name, byte[] payload, TransportFault fault) {
    TransportError error = codec.decode(payload).getLeft();
    assertThat(error.fault()).isEqualTo(fault);
    assertThat(error.detail()).isNotBlank();
  }
}
