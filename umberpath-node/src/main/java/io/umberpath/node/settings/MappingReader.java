package io.umberpath.node.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Reads the fields of one mapping with type and range checks. An invalid or missing field adds a
 * problem and yields a placeholder, so that one pass finds all problems; callers must check the
 * problems before using any value. Not thread-safe.
 */
public final class MappingReader {
  private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,18}");

  private static final String REDACTED = "redacted";

  private final String path;
  private final YamlValue.Mapping mapping;
  private final List<SettingsProblem> problems;
  private final Set<String> knownKeys = new HashSet<>();
  private boolean sensitive = false;
  private boolean lenient = false;

  private MappingReader(String path, YamlValue.Mapping mapping, List<SettingsProblem> problems) {
    this.path = path;
    this.mapping = mapping;
    this.problems = problems;
  }

  /** Creates a reader for the root of a document that adds problems to the given list. */
  public static MappingReader root(YamlValue root, List<SettingsProblem> problems) {
    return of("", root, problems);
  }

  /** Creates a reader for the root of a document; unknown fields at any depth are ignored. */
  public static MappingReader lenientRoot(YamlValue root, List<SettingsProblem> problems) {
    MappingReader reader = of("", root, problems);
    reader.lenient = true;
    return reader;
  }

  private static MappingReader of(String path, YamlValue value, List<SettingsProblem> problems) {
    if (value instanceof YamlValue.Mapping mapping) {
      return new MappingReader(path, mapping, problems);
    }
    String field = path.isEmpty() ? "(document)" : path;
    problems.add(
        new SettingsProblem(value.line(), field, value.describe(), "must be a group of fields"));
    return new MappingReader(
        path, new YamlValue.Mapping(value.line(), new LinkedHashMap<>()), problems);
  }

  /** Reads a required string. */
  public String text(String key) {
    return optionalText(key).orElseGet(() -> addMissing(key, "is required"));
  }

  /** Reads a string with a default. */
  public String text(String key, String defaultText) {
    return optionalText(key).orElse(defaultText);
  }

  /** Reads an optional string; null, lists and mappings are rejected. */
  public Optional<String> optionalText(String key) {
    return scalar(key).map(YamlValue.Scalar::text);
  }

  /** Reads an integer with a default; both bounds are inclusive. */
  public long integer(String key, long minimum, long maximum, long defaultValue) {
    return scalar(key).map(found -> integer(key, found, minimum, maximum)).orElse(defaultValue);
  }

  /** Reads a required integer; both bounds are inclusive. */
  public long integer(String key, long minimum, long maximum) {
    if (!isPresent(key)) {
      addMissing(key, "is required");
      return minimum;
    }
    return integer(key, minimum, maximum, minimum);
  }

  /** As {@link #integer(String, long, long)} for an {@code int}. */
  public int smallInteger(String key, int minimum, int maximum) {
    return Math.toIntExact(integer(key, minimum, maximum));
  }

  /** As {@link #integer(String, long, long, long)} for an {@code int}. */
  public int smallInteger(String key, int minimum, int maximum, int defaultValue) {
    return Math.toIntExact(integer(key, minimum, maximum, defaultValue));
  }

  /** Reads a duration such as {@code 20ms}; result and inclusive bounds are in milliseconds. */
  public long durationMillis(String key, long minimum, long maximum, long defaultValue) {
    Optional<YamlValue.Scalar> found = scalar(key);
    if (found.isEmpty()) {
      return defaultValue;
    }
    Optional<Long> millis = Durations.parseMillis(found.get().text());
    if (millis.isEmpty() || millis.get() < minimum || millis.get() > maximum) {
      String range = Durations.format(minimum) + " to " + Durations.format(maximum);
      addProblem(key, found.get(), "must be a duration such as 20ms, 3s or 1m, " + range);
      return minimum;
    }
    return millis.get();
  }

  /** Reads a boolean, {@code true} or {@code false}. */
  public boolean flag(String key, boolean defaultValue) {
    Optional<YamlValue.Scalar> found = scalar(key);
    if (found.isEmpty()) {
      return defaultValue;
    }
    String text = found.get().text();
    if (!text.equals("true") && !text.equals("false")) {
      addProblem(key, found.get(), "must be true or false");
    }
    return text.equals("true");
  }

  /** Reads an enum constant; case-insensitive, with {@code -} accepted for {@code _}. */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    return scalar(key).map(found -> choice(key, found, type)).orElse(defaultValue);
  }

  /** Reads a list of strings; empty if absent. */
  public List<String> texts(String key) {
    List<String> texts = new ArrayList<>();
    for (YamlValue item : items(key)) {
      if (item instanceof YamlValue.Scalar found && !found.isNull()) {
        texts.add(found.text());
      } else {
        addProblem(key, item, "must hold single values");
      }
    }
    return texts;
  }

  /** Reads a list of enum constants; empty if absent. */
  public <E extends Enum<E>> List<E> choices(String key, Class<E> type) {
    List<E> choices = new ArrayList<>();
    for (YamlValue item : items(key)) {
      if (item instanceof YamlValue.Scalar found) {
        choices.add(choice(key, found, type));
      } else {
        addProblem(key, item, "must hold single values");
      }
    }
    return choices;
  }

  /** Reads a list of mappings, each with the given function; empty if absent. */
  public <T> List<T> groups(String key, Function<MappingReader, T> read) {
    return groups(key, read, false);
  }

  /** As {@link #groups}, but redacts unknown fields in problems because they may hold a secret. */
  public <T> List<T> sensitiveGroups(String key, Function<MappingReader, T> read) {
    return groups(key, read, true);
  }

  private <T> List<T> groups(String key, Function<MappingReader, T> read, boolean redact) {
    List<T> groups = new ArrayList<>();
    for (YamlValue item : items(key)) {
      String itemPath = fieldPath(key) + "[" + groups.size() + "]";
      YamlValue shown =
          redact && item instanceof YamlValue.Scalar
              ? new YamlValue.Scalar(item.line(), REDACTED, false)
              : item;
      MappingReader reader = of(itemPath, shown, problems);
      reader.sensitive = redact;
      reader.lenient = lenient;
      groups.add(read.apply(reader));
      reader.rejectUnknownFields();
    }
    return groups;
  }

  /** Reads an optional mapping with the given function. */
  public <T> Optional<T> optionalGroup(String key, Function<MappingReader, T> read) {
    knownKeys.add(key);
    YamlValue value = mapping.entries().get(key);
    if (value == null) {
      return Optional.empty();
    }
    MappingReader reader = of(fieldPath(key), value, problems);
    reader.lenient = lenient;
    T result = read.apply(reader);
    reader.rejectUnknownFields();
    return Optional.of(result);
  }

  /** Reads a mapping; if it is absent, its fields take their defaults or are reported missing. */
  public <T> T group(String key, Function<MappingReader, T> read) {
    Optional<T> found = optionalGroup(key, read);
    return found.orElseGet(
        () ->
            read.apply(
                new MappingReader(
                    fieldPath(key),
                    new YamlValue.Mapping(mapping.line(), new LinkedHashMap<>()),
                    problems)));
  }

  /** Returns whether the mapping contains the key. */
  public boolean isPresent(String key) {
    return mapping.entries().containsKey(key);
  }

  /** Adds a problem for a field; the value is quoted as written. */
  public void addProblem(String key, String message) {
    YamlValue value = mapping.entries().get(key);
    if (value == null) {
      addMissing(key, message);
    } else {
      addProblem(key, value, message);
    }
  }

  /** Adds a problem for one item of a list. */
  public void addItemProblem(String key, int index, String message) {
    if (mapping.entries().get(key) instanceof YamlValue.Sequence sequence) {
      addProblem(key + "[" + index + "]", sequence.items().get(index), message);
    }
  }

  /** Adds a problem for a field without showing its value. */
  public void addRedactedProblem(String key, String message) {
    YamlValue value = mapping.entries().get(key);
    int line = value == null ? mapping.line() : value.line();
    problems.add(new SettingsProblem(line, fieldPath(key), REDACTED, message));
  }

  /** Adds a problem for every key that was not read. */
  public void rejectUnknownFields() {
    if (lenient) {
      return;
    }
    String message = "unknown field; known here: " + knownKeys.stream().sorted().toList();
    for (String key : mapping.entries().keySet()) {
      if (knownKeys.contains(key)) {
        continue;
      }
      if (sensitive) {
        addRedactedProblem(key, message);
      } else {
        addProblem(key, message);
      }
    }
  }

  private List<YamlValue> items(String key) {
    knownKeys.add(key);
    YamlValue value = mapping.entries().get(key);
    if (value == null) {
      return List.of();
    }
    if (value instanceof YamlValue.Sequence sequence) {
      return sequence.items();
    }
    addProblem(key, value, "must be a list");
    return List.of();
  }

  private Optional<YamlValue.Scalar> scalar(String key) {
    knownKeys.add(key);
    YamlValue value = mapping.entries().get(key);
    if (value == null) {
      return Optional.empty();
    }
    if (value instanceof YamlValue.Scalar found && !found.isNull()) {
      return Optional.of(found);
    }
    addProblem(key, value, "must be a single value");
    return Optional.empty();
  }

  private long integer(String key, YamlValue.Scalar found, long minimum, long maximum) {
    boolean isInteger = INTEGER.matcher(found.text()).matches();
    long value = isInteger ? Long.parseLong(found.text()) : minimum;
    if (!isInteger || value < minimum || value > maximum) {
      addProblem(key, found, "must be a whole number, " + minimum + " to " + maximum);
      return minimum;
    }
    return value;
  }

  private <E extends Enum<E>> E choice(String key, YamlValue.Scalar found, Class<E> type) {
    String constantName = found.text().toUpperCase(Locale.ROOT).replace('-', '_');
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(constantName)) {
        return constant;
      }
    }
    String names = Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT);
    addProblem(key, found, "must be one of " + names.replace('_', '-'));
    return type.getEnumConstants()[0];
  }

  /** Reads a required string and parses it; a parse error is added as a problem of the field. */
  public <T> T parsed(String key, T placeholder, Function<String, Either<String, T>> parse) {
    Optional<YamlValue.Scalar> found = scalar(key);
    if (found.isEmpty()) {
      addMissing(key, "is required");
      return placeholder;
    }
    Either<String, T> value = parse.apply(found.get().text());
    if (value.isLeft()) {
      addProblem(key, found.get(), value.getLeft());
      return placeholder;
    }
    return value.get();
  }

  private void addProblem(String key, YamlValue value, String message) {
    problems.add(new SettingsProblem(value.line(), fieldPath(key), value.describe(), message));
  }

  private String addMissing(String key, String message) {
    problems.add(new SettingsProblem(mapping.line(), fieldPath(key), "", message));
    return "";
  }

  private String fieldPath(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
