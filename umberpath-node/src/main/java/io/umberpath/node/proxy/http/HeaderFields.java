package io.umberpath.node.proxy.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpTrailer;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Header or trailer fields of a message in their order, as strings of their own: the codec's refer
 * to the buffer that they were read into. Immutable.
 */
public final class HeaderFields {
  /** No fields. */
  public static final HeaderFields NONE = new HeaderFields(List.of());

  /** One field line. */
  public record Field(String name, String value) {}

  private final List<Field> fields;

  private HeaderFields(List<Field> fields) {
    this.fields = fields;
  }

  /** The trailers that come with a piece of a body; none with most. */
  public static HeaderFields trailersOf(HttpContent content) {
    return content instanceof HttpTrailer trailer ? of(trailer.getHeaders()) : NONE;
  }

  /** Copies the codec's. */
  private static HeaderFields of(MimeHeaders headers) {
    List<Field> fields = new ArrayList<>(headers.size());
    for (int index = 0; index < headers.size(); index++) {
      fields.add(new Field(headers.getName(index).toString(), headers.getValue(index).toString()));
    }
    return fields.isEmpty() ? NONE : new HeaderFields(fields);
  }

  /** Copies the codec's, and has the codec refer to the copies from now on. */
  static HeaderFields detach(MimeHeaders headers) {
    HeaderFields fields = of(headers);
    headers.clear();
    fields.addTo(headers);
    return fields;
  }

  /** Adds them to the codec's. */
  public void addTo(MimeHeaders headers) {
    fields.forEach(field -> headers.addValue(field.name()).setString(field.value()));
  }

  /** All of them, in their order. */
  public Iterable<Field> all() {
    return fields;
  }

  /** Value of the first field of a name, compared without case. */
  public Optional<String> first(String name) {
    for (Field field : fields) {
      if (field.name().equalsIgnoreCase(name)) {
        return Optional.of(field.value());
      }
    }
    return Optional.empty();
  }

  /** Whether there is none. */
  public boolean isEmpty() {
    return fields.isEmpty();
  }
}
