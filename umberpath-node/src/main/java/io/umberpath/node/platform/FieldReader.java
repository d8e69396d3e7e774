package io.umberpath.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.InetAddresses;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Violation;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Reads typed fields of a JSON tree and collects every violation with the path and value of its
 * field. After a violation the returned value is a placeholder of the right type. Not thread-safe.
 */
final class FieldReader {
  private static final int MAX_SHOWN_CHARACTERS = 80;
  private static final int MAX_TEXT_CHARACTERS = 255;
  private static final String ROOT = "document";

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> violations() {
    return violations;
  }

  /** Checks that the node is an object with all given fields and no others but optional ones. */
  boolean hasFields(JsonNode node, String path, Set<String> names, String... optional) {
    if (!node.isObject()) {
      return addViolation(path, node, "must be an object");
    }
    int before = violations.size();
    for (Iterator<String> fields = node.fieldNames(); fields.hasNext(); ) {
      String name = fields.next();
      if (!names.contains(name) && !List.of(optional).contains(name)) {
        addViolation(join(path, name), node.get(name), "unknown field");
      }
    }
    for (String name : names) {
      if (!node.has(name)) {
        violations.add(new Violation(join(path, name), "", "missing"));
      }
    }
    return violations.size() == before;
  }

  boolean isArray(JsonNode node, String path) {
    return node.isArray() || addViolation(path, node, "must be an array");
  }

  long positive(JsonNode parent, String path, String name, long max) {
    JsonNode node = parent.get(name);
    boolean isNumber = node.isIntegralNumber() && node.canConvertToLong();
    if (isNumber && node.longValue() > 0 && node.longValue() <= max) {
      return node.longValue();
    }
    addViolation(join(path, name), node, "must be an integer of at least 1 and at most " + max);
    return 1;
  }

  int port(JsonNode parent, String path, String name) {
    JsonNode node = parent.get(name);
    if (node.isInt() && node.intValue() >= 1 && node.intValue() <= PeerAddress.MAX_PORT) {
      return node.intValue();
    }
    addViolation(
        join(path, name), node, "must be an integer between 1 and " + PeerAddress.MAX_PORT);
    return 1;
  }

  String text(JsonNode parent, String path, String name) {
    JsonNode node = parent.get(name);
    if (isValidText(node)) {
      return node.textValue();
    }
    addViolation(join(path, name), node, "must be a string of 1 to " + MAX_TEXT_CHARACTERS);
    return "";
  }

  String ipAddress(JsonNode parent, String path, String name) {
    JsonNode node = parent.get(name);
    if (node.isTextual() && InetAddresses.isInetAddress(node.textValue())) {
      return node.textValue();
    }
    addViolation(join(path, name), node, "must be an IP address");
    return "";
  }

  boolean addViolation(String path, JsonNode value, String message) {
    String shown = value.toString();
    if (shown.length() > MAX_SHOWN_CHARACTERS) {
      shown = shown.substring(0, MAX_SHOWN_CHARACTERS) + "...";
    }
    violations.add(new Violation(path.isEmpty() ? ROOT : path, shown, message));
    return false;
  }

  static String join(String path, String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private static boolean isValidText(JsonNode node) {
    return node.isTextual()
        && !node.textValue().isBlank()
        && node.textValue().length() <= MAX_TEXT_CHARACTERS;
  }
}
