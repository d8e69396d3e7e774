package io.umberpath.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class MessageCodecTest {
  private static final CBORMapper PLAIN = new CBORMapper();

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

  static Stream<Arguments> faults() throws Exception {
    byte[] valid = PLAIN.writeValueAsBytes(Map.of("k", "t", "number", 1, "text", "x"));
    Map<String, Object> nullText = new HashMap<>(Map.of("k", "t", "number", 1));
    nullText.put("text", null);
    return Stream.of(
        fault("empty", new byte[0], TransportFault.MALFORMED_MESSAGE),
        fault("garbage", new byte[] {-1, -2, 3, 4}, TransportFault.MALFORMED_MESSAGE),
        fault(
            "truncated", Arrays.copyOf(valid, valid.length - 2), TransportFault.MALFORMED_MESSAGE),
        fault("trailing", Arrays.copyOf(valid, valid.length + 1), TransportFault.MALFORMED_MESSAGE),
        fault("null", PLAIN.writeValueAsBytes(null), TransportFault.MALFORMED_MESSAGE),
        fault("number", PLAIN.writeValueAsBytes(3), TransportFault.MALFORMED_MESSAGE),
        value("unknown type", Map.of("k", "zz"), TransportFault.UNKNOWN_MESSAGE_TYPE),
        value("no type", Map.of("number", 1), TransportFault.MALFORMED_MESSAGE),
        value(
            "unknown property",
            Map.of("k", "t", "number", 1, "text", "x", "more", 1),
            TransportFault.MALFORMED_MESSAGE),
        value("missing number", Map.of("k", "t", "text", "x"), TransportFault.MALFORMED_MESSAGE),
        value("missing text", Map.of("k", "t", "number", 1), TransportFault.MALFORMED_MESSAGE),
        value("null text", nullText, TransportFault.MALFORMED_MESSAGE),
        value(
            "fraction for integer",
            Map.of("k", "t", "number", 1.5, "text", "x"),
            TransportFault.MALFORMED_MESSAGE),
        value(
            "number out of range",
            Map.of("k", "t", "number", 1L << 40, "text", "x"),
            TransportFault.MALFORMED_MESSAGE),
        value("deep nesting", nested(40), TransportFault.MALFORMED_MESSAGE),
        value(
            "null element",
            Map.of("k", "n", "children", Arrays.asList((Object) null)),
            TransportFault.MALFORMED_MESSAGE));
  }

  private static Map<String, Object> nested(int depth) {
    Map<String, Object> inner = Map.of("k", "n", "children", List.of());
    return depth == 0 ? inner : Map.of("k", "n", "children", List.of(nested(depth - 1)));
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
