package io.umberpath.lab;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Names of enum constants on the command line and in calls, for example {@code always-idle}. */
public final class Labels {
  private Labels() {}

  /** The label of a constant: lower case, words joined by {@code -}. */
  public static String of(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The constant of that label, if there is one. */
  public static <E extends Enum<E>> Optional<E> find(Class<E> type, String label) {
    return Arrays.stream(type.getEnumConstants())
        .filter(constant -> of(constant).equals(label))
        .findFirst();
  }
}
