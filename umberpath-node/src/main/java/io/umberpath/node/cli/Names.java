package io.umberpath.node.cli;

import io.umberpath.api.v1.Kind;
import io.umberpath.api.v1.Version;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats resource kinds and versions on the command line. */
final class Names {
  /** Error message for an invalid version. */
  static final String VERSION_RULE = "must be a version such as 3.17";

  private static final Pattern VERSION = Pattern.compile("([0-9]{1,18})\\.([0-9]{1,18})");

  private Names() {}

  /**
   * Parses a kind, singular or plural, ignoring case.
   *
   * @throws UsageException if the kind is unknown
   */
  static Kind kind(String text) throws UsageException {
    return switch (text.toLowerCase(Locale.ROOT)) {
      case "route", "routes" -> Kind.KIND_ROUTE;
      case "pool", "pools" -> Kind.KIND_POOL;
      case "secret", "secrets" -> Kind.KIND_SECRET;
      default -> throw new UsageException("'" + text + "' must be route, pool or secret");
    };
  }

  /**
   * Parses a version, {@code epoch.sequence}.
   *
   * @throws UsageException if the text is not a valid version
   */
  static Version version(String text) throws UsageException {
    Matcher matcher = VERSION.matcher(text);
    if (!matcher.matches()) {
      throw new UsageException("'" + text + "' " + VERSION_RULE);
    }
    return Version.newBuilder()
        .setEpoch(Long.parseLong(matcher.group(1)))
        .setSequence(Long.parseLong(matcher.group(2)))
        .build();
  }

  /** Formats a version as {@code epoch.sequence}. */
  static String version(Version version) {
    return version.getEpoch() + "." + version.getSequence();
  }
}
