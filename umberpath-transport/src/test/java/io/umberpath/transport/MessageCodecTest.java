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

  static Stream<Arguments> faults() throws Exception {
    byte[] valid = PLAIN.writeValueAsBytes(VALID);
    return Stream.of(
        fault("empty", new byte[0], TransportFault.MALFORMED_MESSAGE),
        fault("garbage", new byte[] {-1, -2, 3, 4}, TransportFault.MALFORMED_MESSAGE),
        fault(
            "truncated", Arrays.copyOf(valid, valid.length - 1), TransportFault.MALFORMED_MESSAGE),
        fault("trailing", Arrays.copyOf(valid, valid.length + 1), TransportFault.MALFORMED_MESSAGE),
        value("null", null, TransportFault.MALFORMED_MESSAGE),
        value("number", 3, TransportFault.MALFORMED_MESSAGE),
        value("unknown type", List.of("zz", List.of()), TransportFault.UNKNOWN_MESSAGE_TYPE),
        value("type alone", List.of("t"), TransportFault.MALFORMED_MESSAGE),
        value("no type", List.of(List.of(1, "x")), TransportFault.MALFORMED_MESSAGE),
        value(
            "object", Map.of("k", "t", "number", 1, "text", "x"), TransportFault.MALFORMED_MESSAGE),
        text("surplus component", 1, "x", 9),
        text("no component"),
        text("missing text", 1),
        text("null number", null, "x"),
        text("null text", 1, null),
        text("fraction for integer", 1.5, "x"),
        text("text for integer", "one", "x"),
        text("number out of range", 1L << 40, "x"),
        text("list for text", 1, List.of("x", "y")),
        value("deep nesting", List.of("n", nested(40)), TransportFault.MALFORMED_MESSAGE),
        value(
            "null element",
            List.of("n", List.of(Arrays.asList((Object) null))),
            TransportFault.MALFORMED_MESSAGE));
  }

  private static List<Object> nested(int depth) {
    return depth == 0 ? List.of(List.of()) : List.of(List.of(nested(depth - 1)));
  }

  private static Arguments text(String name, Object... components) throws Exception {
    return value(name, List.of("t", Arrays.asList(components)), TransportFault.MALFORMED_MESSAGE);
  }

  private static Arguments value(String name, Object value, TransportFault fault) throws Exception {
    return fault(name, PLAIN.writeValueAsBytes(value), fault);
  }

  private static Arguments fault(String name, byte[] payload, TransportFault fault) {
    return Arguments.of(name, payload, fault);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void refusesFaultyPayloads(String name, byte[] payload, TransportFault fault) {
    TransportError error = codec.decode(payload).getLeft();
    assertThat(error.fault()).isEqualTo(fault);
    assertThat(error.detail()).isNotBlank();
  }
}
