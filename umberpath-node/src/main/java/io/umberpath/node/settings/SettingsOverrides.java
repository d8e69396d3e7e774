package io.umberpath.node.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Values from flags that take precedence over the settings file.
 *
 * @param overrides overrides in order; the last one for a field wins
 */
public record SettingsOverrides(List<Override> overrides) {
  /** No overrides. */
  public static final SettingsOverrides NONE = new SettingsOverrides(List.of());

  /** Copies the list. */
  public SettingsOverrides {
    overrides = List.copyOf(overrides);
  }

  /**
   * One overridden field.
   *
   * @param field path of the field, for example {@code node.zone}
   * @param value its value in YAML, for example {@code [127.0.0.1:7100, 127.0.0.1:7101]}
   */
  public record Override(String field, String value) {}

  /** Applies the overrides to the parsed settings file. */
  void applyTo(YamlValue.Mapping root, List<SettingsProblem> problems) {
    for (Override override : overrides) {
      Either<SettingsProblem, YamlValue> value = YamlTreeParser.parseFlag(override.value());
      value.peekLeft(
          problem ->
              problems.add(
                  new SettingsProblem(
                      problem.line(), override.field(), override.value(), problem.message())));
      value.peek(parsed -> put(root, override, parsed, problems));
    }
  }

  private static void put(
      YamlValue.Mapping root, Override override, YamlValue value, List<SettingsProblem> problems) {
    List<String> keys = new ArrayList<>(List.of(override.field().split("\\.", -1)));
    String last = keys.remove(keys.size() - 1);
    YamlValue.Mapping mapping = root;
    for (String key : keys) {
      YamlValue child =
          mapping
              .entries()
              .computeIfAbsent(
                  key,
                  absent ->
                      new YamlValue.Mapping(SettingsProblem.FLAG_LINE, new LinkedHashMap<>()));
      if (!(child instanceof YamlValue.Mapping group)) {
        problems.add(
            new SettingsProblem(
                child.line(), override.field(), child.describe(), key + " is not a group"));
        return;
      }
      mapping = group;
    }
    mapping.entries().put(last, value);
  }
}
