package io.umberpath.node.settings;

import java.util.List;
import java.util.Map;

/** A YAML value with its line number. */
public sealed interface YamlValue {
  /** Line in the file, counted from 1; {@link SettingsProblem#FLAG_LINE} for a flag's value. */
  int line();

  /** Returns the text that represents the value in a problem. */
  String describe();

  /**
   * A scalar.
   *
   * @param line where it is
   * @param text its text without quotes
   * @param isNull whether it is the YAML null value
   */
  record Scalar(int line, String text, boolean isNull) implements YamlValue {
    @Override
    public String describe() {
      return text;
    }
  }

  /**
   * A list.
   *
   * @param line where it begins
   * @param items its items in order
   */
  record Sequence(int line, List<YamlValue> items) implements YamlValue {
    @Override
    public String describe() {
      return "a list";
    }
  }

  /**
   * A mapping.
   *
   * @param line where it begins
   * @param entries its entries in order; mutable, because overrides are added to it
   */
  record Mapping(int line, Map<String, YamlValue> entries) implements YamlValue {
    @Override
    public String describe() {
      return "a group of fields";
    }
  }
}
