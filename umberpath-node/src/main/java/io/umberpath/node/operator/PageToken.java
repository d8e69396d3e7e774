package io.umberpath.node.operator;

import com.google.common.hash.Hashing;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

/**
 * Where the next page of a list begins. The text form carries a checksum, so that a damaged token
 * is refused; it grants nothing, since each page is filtered by the caller's tenant again.
 *
 * @param listed the kind that is listed, empty for all
 * @param after the last resource of the page before
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

  /** The token, or empty if the text is not one. */
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
