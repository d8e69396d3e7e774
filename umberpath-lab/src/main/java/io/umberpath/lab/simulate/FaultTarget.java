package io.umberpath.lab.simulate;

/**
 * Whom a fault hits: {@code leader}, {@code relays}, {@code readers}, {@code all}, {@code
 * all-but-one}, {@code zone:N} (its number), {@code fraction:F} or {@code random:N}.
 *
 * @param kind how targets are chosen
 * @param amount zone number, fraction or count
 */
public record FaultTarget(Kind kind, double amount) {
  /** How targets are chosen. */
  public enum Kind {
    /** The leader of the highest epoch. */
    LEADER,
    /** Every node with children except the leader. */
    RELAYS,
    /** The nodes that read the platform. */
    READERS,
    /** Every node. */
    ALL,
    /** Every node except a random one. */
    ALL_BUT_ONE,
    /** Every node of one zone. */
    ZONE,
    /** A random share of the nodes. */
    FRACTION,
    /** A number of random nodes. */
    RANDOM
  }

  /**
   * Parses a target.
   *
   * @throws IllegalArgumentException naming field and value
   */
  public static FaultTarget parse(String text) {
    int colon = text.indexOf(':');
    String name = colon < 0 ? text : text.substring(0, colon);
    Kind kind = kind(name, text);
    boolean takesAmount = kind == Kind.ZONE || kind == Kind.FRACTION || kind == Kind.RANDOM;
    if (takesAmount != colon >= 0) {
      throw invalid(text);
    }
    return new FaultTarget(kind, takesAmount ? amount(kind, text.substring(colon + 1), text) : 0);
  }

  private static Kind kind(String name, String text) {
    for (Kind kind : Kind.values()) {
      if (kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-').equals(name)) {
        return kind;
      }
    }
    throw invalid(text);
  }

  private static double amount(Kind kind, String number, String text) {
    try {
      double amount = Double.parseDouble(number);
      if (amount >= 0 && (kind != Kind.FRACTION || amount <= 1)) {
        return amount;
      }
    } catch (NumberFormatException e) {
      throw invalid(text);
    }
    throw invalid(text);
  }

  private static IllegalArgumentException invalid(String text) {
    return new IllegalArgumentException(
        "target = '"
            + text
            + "': must be leader, relays, readers, all, all-but-one, zone:N, fraction:F or"
            + " random:N");
  }
}
