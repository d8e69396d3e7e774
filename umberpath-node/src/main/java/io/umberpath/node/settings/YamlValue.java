package io.umberpath.node.settings;

import java.util.List;
import java.util.Map;

/** A YAML value that remembers the line it was written on. */
public sealed interface YamlValue {
  /** Line in the file, counted from 1; {@link SettingsProblem#FLAG_LINE} for a flag's value. */
  int line();

  /** How the value is quoted in a problem. */
  String describe();

  /**
   * A single value.
   *
   * @param line where it is
   * @param text its text as written, without quotes
   * @param isNull whether it is YAML's null
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
   * A group of named values.
   *
   * @param line where it begins
   * @param entries its entries in order; the parser and the overrides fill this map
   */
  record Mapping(int line, Map<String, YamlValue> entries) implements YamlValue {
    @Override
    public String describe() {
      return "a group of fields";
    }
  }
}
