package io.umberpath.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.AnnotationIntrospector;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * Encodes values of one type as CBOR and decodes them strictly. A record is encoded as an array of
 * its components, in declaration order and without names; a sealed type as a pair of type name and
 * value. The decoder rejects missing and surplus components, nulls, trailing tokens, deep nesting
 * and long strings. An empty list that Jackson omits is null on the wire; the record's constructor
 * converts it back to an empty list. Thread-safe.
 *
 * @param <T> the message type, usually a sealed hierarchy with Jackson type names
 */
public final class MessageCodec<T> {
  private static final int MAX_NESTING_DEPTH = 32;
  private static final int MAX_STRING_BYTES = 1 << 20;
  private static final int MAX_NAME_LENGTH = 64;
  private static final int MAX_NUMBER_LENGTH = 64;
  private static final ObjectMapper MAPPER = createMapper();

  private final ObjectWriter writer;
  private final ObjectReader reader;

  /** Creates a codec for values of a type. */
  public MessageCodec(Class<T> type) {
    writer = MAPPER.writerFor(type);
    reader = MAPPER.readerFor(type);
  }

  private static ObjectMapper createMapper() {
    StreamReadConstraints constraints =
        StreamReadConstraints.builder()
            .maxNestingDepth(MAX_NESTING_DEPTH)
            .maxStringLength(MAX_STRING_BYTES)
            .maxNameLength(MAX_NAME_LENGTH)
            .maxNumberLength(MAX_NUMBER_LENGTH)
            .build();
    CBORFactory factory =
        CBORFactory.builder()
            .streamReadConstraints(constraints)
            .enable(CBORGenerator.Feature.STRINGREF)
            .build();
    return CBORMapper.builder(factory)
        .addModule(new Jdk8Module())
        .addModule(RecordDeserializer.module())
        .annotationIntrospector(
            AnnotationIntrospector.pair(
                new PositionalRecords(), new JacksonAnnotationIntrospector()))
        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
        .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
        .build();
  }

  /**
   * Encodes a value.
   *
   * @throws IllegalArgumentException if the type has no Jackson mapping, which is a programming
   *     error
   */
  public byte[] encode(T value) {
    try {
      return writer.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "cannot encode " + value.getClass().getSimpleName() + ": " + e.getOriginalMessage(), e);
    }
  }

  /** Decodes a complete payload; the error names the path of the fault, never the content. */
  public Either<TransportError, T> decode(byte[] payload) {
    try {
      T value = reader.readValue(payload);
      return NullCheck.findFirstNull(value)
          .<Either<TransportError, T>>map(path -> malformed(path + " is null or missing"))
          .orElseGet(() -> Either.right(value));
    } catch (InvalidTypeIdException e) {
      return e.getTypeId() == null ? malformed("missing message type") : unknownType(e.getTypeId());
    } catch (JsonMappingException e) {
      return malformed(e.getClass().getSimpleName() + " at " + e.getPathReference());
    } catch (IOException e) {
      return malformed(e.getClass().getSimpleName());
    }
  }

  private static <T> Either<TransportError, T> unknownType(String typeId) {
    String truncatedId = typeId.substring(0, Math.min(typeId.length(), MAX_NAME_LENGTH));
    return Either.left(
        new TransportError(TransportFault.UNKNOWN_MESSAGE_TYPE, "type '" + truncatedId + "'"));
  }

  private static <T> Either<TransportError, T> malformed(String detail) {
    return Either.left(new TransportError(TransportFault.MALFORMED_MESSAGE, detail));
  }
}
