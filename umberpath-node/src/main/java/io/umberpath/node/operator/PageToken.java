package io.umberpath.node.operator;

import com.google.common.hash.Hashing;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

/**
 * The start of the next page of a list. The encoded form has a checksum so that corrupted tokens
 * are rejected. A token grants no access: each page is filtered by the principal's tenant.
 *
 * @param listed the listed kind; empty for all kinds
 * @param after the last resource of the previous page
 */
record PageToken(Optional<ResourceKind> listed, ResourceKey after) {
  private static final String ALL = "ALL";
  private static final String SEPARATOR = "|";
  private static final int PART_COUNT = 4;

  String encode() {
    String body =
        String.join(
            SEPARATOR,
            listed.map(ResourceKind::name).orElse(ALL),
            after.kind().name(),
            after.name());
    String text = checksum(body) + SEPARATOR + body;
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Decodes a token; empty if the text is not a valid one. */
  static Optional<PageToken> decode(String text) {
    try {
      String decoded = new String(Base64.getUrlDecoder().decode(text), StandardCharsets.UTF_8);
      String[] parts = decoded.split("\\" + SEPARATOR, PART_COUNT);
      String body = decoded.substring(decoded.indexOf(SEPARATOR) + 1);
      if (parts.length != PART_COUNT || !parts[0].equals(checksum(body))) {
        return Optional.empty();
      }
      Optional<ResourceKind> listed =
          parts[1].equals(ALL) ? Optional.empty() : Optional.of(ResourceKind.valueOf(parts[1]));
      ResourceKey after = new ResourceKey(ResourceKind.valueOf(parts[2]), parts[3]);
      return Optional.of(new PageToken(listed, after));
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }

  private static String checksum(String body) {
    return Hashing.murmur3_32_fixed().hashString(body, StandardCharsets.UTF_8).toString();
  }
}
