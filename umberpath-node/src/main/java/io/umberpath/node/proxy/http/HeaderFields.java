package io.umberpath.node.proxy.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpTrailer;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Header or trailer fields of a message in the order received. The strings are copies, since the
 * codec's own fields refer to the read buffer. Immutable.
 */
public final class HeaderFields {
  /** The empty list of fields. */
  public static final HeaderFields NONE = new HeaderFields(List.of());

  /** One field line, with its value as received. */
  public record Field(String name, String value) {}

  private final List<Field> fields;

  private HeaderFields(List<Field> fields) {
    this.fields = fields;
  }

  /** Returns the trailers if the content is the end of a chunked body, else {@link #NONE}. */
  public static HeaderFields trailersOf(HttpContent content) {
    return content instanceof HttpTrailer trailer ? of(trailer.getHeaders()) : NONE;
  }

  /** Copies the fields of the codec. */
  private static HeaderFields of(MimeHeaders headers) {
    List<Field> fields = new ArrayList<>(headers.size());
    for (int index = 0; index < headers.size(); index++) {
      fields.add(new Field(headers.getName(index).toString(), headers.getValue(index).toString()));
    }
    return fields.isEmpty() ? NONE : new HeaderFields(fields);
  }

  /** Copies the fields of the codec, and replaces them by the copies there. */
  static HeaderFields detach(MimeHeaders headers) {
    HeaderFields fields = of(headers);
    headers.clear();
    fields.addTo(headers);
    return fields;
  }

  /** Adds these fields to the headers of a codec packet. */
  public void addTo(MimeHeaders headers) {
    fields.forEach(field -> headers.addValue(field.name()).setString(field.value()));
  }

  /** All fields in the order received. */
  public Iterable<Field> all() {
    return fields;
  }

  /** Value of the first field with the name, ignoring case. */
  public Optional<String> first(String name) {
    for (Field field : fields) {
      if (field.name().equalsIgnoreCase(name)) {
        return Optional.of(field.value());
      }
    }
    return Optional.empty();
  }

  /**
   * Values of all header fields with the name, ignoring case, without surrounding whitespace and
   * joined by commas, which is equivalent to repeating the field (RFC 9110, section 5.3).
   */
  public Optional<String> joined(String name) {
    String joined = null;
    for (Field field : fields) {
      if (field.name().equalsIgnoreCase(name)) {
        String value = field.value().strip();
        joined = joined == null ? value : joined + ", " + value;
      }
    }
    return Optional.ofNullable(joined);
  }

  /** Whether there are no fields. */
  public boolean isEmpty() {
    return fields.isEmpty();
  }
}
