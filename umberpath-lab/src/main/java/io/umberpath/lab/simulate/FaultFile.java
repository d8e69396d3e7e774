package io.umberpath.lab.simulate;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A YAML file of fault events.
 *
 * @param faults the events
 */
public record FaultFile(List<FaultEvent> faults) {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(new YAMLFactory())
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  /** Copies the list. */
  public FaultFile {
    if (faults == null) {
      throw new IllegalArgumentException("faults = '': must be a list of fault events");
    }
    faults = List.copyOf(faults);
  }

  /**
   * Reads a file.
   *
   * @return the events, or an error that names file, line, field and value
   */
  public static Either<String, List<FaultEvent>> read(Path path) {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (IOException e) {
      return Either.left(path + ": cannot be read: " + e.getMessage());
    }
  }

  /**
   * Reads named cases.
   *
   * @throws IOException if the text is not a map of names to lists of events
   */
  static Map<String, List<FaultEvent>> readCases(InputStream text) throws IOException {
    return MAPPER.readValue(text, new TypeReference<Map<String, List<FaultEvent>>>() {});
  }

  static Either<String, List<FaultEvent>> parse(String name, String text) {
    try {
      return Either.right(MAPPER.readValue(text, FaultFile.class).faults());
    } catch (JsonMappingException e) {
      return Either.left(name + at(e.getLocation()) + field(e) + cause(e));
    } catch (JsonProcessingException e) {
      return Either.left(name + at(e.getLocation()) + ": " + e.getOriginalMessage());
    }
  }

  private static String at(JsonLocation location) {
    return location == null ? "" : ": line " + location.getLineNr();
  }

  private static String field(JsonMappingException e) {
    StringBuilder path = new StringBuilder();
    for (JsonMappingException.Reference reference : e.getPath()) {
      if (reference.getFieldName() == null) {
        path.append('[').append(reference.getIndex()).append(']');
      } else {
        path.append(path.isEmpty() ? "" : ".").append(reference.getFieldName());
      }
    }
    return path.isEmpty() ? ": " : ": " + path + ": ";
  }

  private static String cause(JsonMappingException e) {
    Throwable cause = e;
    while (cause.getCause() != null && cause.getCause() != cause) {
      cause = cause.getCause();
    }
    return cause instanceof JsonProcessingException json
        ? json.getOriginalMessage()
        : cause.getMessage();
  }
}
