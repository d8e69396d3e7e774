package io.umberpath.node.proxy.http;

import java.nio.charset.StandardCharsets;

/** Reads fields of a message head that is forwarded as it was received. */
public final class RawHead {
  private static final String LINE_END = "\r\n";

  private RawHead() {}

  /** Whether a validated head has a field with this value. */
  public static boolean hasField(byte[] head, String name, String value) {
    for (String line : new String(head, StandardCharsets.ISO_8859_1).split(LINE_END)) {
      boolean isNamed = line.regionMatches(true, 0, name + ":", 0, name.length() + 1);
      if (isNamed && line.substring(name.length() + 1).strip().equals(value)) {
        return true;
      }
    }
    return false;
  }
}
