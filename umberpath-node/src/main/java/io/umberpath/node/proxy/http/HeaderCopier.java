package io.umberpath.node.proxy.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.util.Header;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Copies the end-to-end headers of a message (RFC 9110, section 7.6.1). Leaves out hop-by-hop
 * headers, headers listed in {@code Connection}, headers that state the body's length, and
 * Umberpath's own headers.
 */
public final class HeaderCopier {
  private static final Set<String> EXCLUDED_HEADERS = excludedHeaders();

  private HeaderCopier() {}

  /** Copies the end-to-end headers, except those whose names are in the given set. */
  public static void copy(HeaderFields from, HttpHeader to, Set<String> additionalExclusions) {
    MimeHeaders target = to.getHeaders();
    List<String> connectionOptions = connectionOptions(from);
    for (HeaderFields.Field field : from.all()) {
      String name = field.name();
      if (!EXCLUDED_HEADERS.contains(name)
          && !ProxyHeaders.isInternal(name)
          && !additionalExclusions.contains(name)
          && !containsIgnoreCase(connectionOptions, name)) {
        target.addValue(name).setString(field.value());
      }
    }
  }

  private static List<String> connectionOptions(HeaderFields fields) {
    List<String> names = new ArrayList<>();
    for (HeaderFields.Field field : fields.all()) {
      if (field.name().equalsIgnoreCase(Header.Connection.toString())) {
        for (String name : field.value().split(",")) {
          names.add(name.strip());
        }
      }
    }
    return names;
  }

  private static boolean containsIgnoreCase(List<String> names, String name) {
    for (String candidate : names) {
      if (candidate.equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }

  private static Set<String> excludedHeaders() {
    Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    names.addAll(
        List.of(
            "Connection",
            "Content-Length",
            "Keep-Alive",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "Proxy-Connection",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade"));
    return names;
  }
}
