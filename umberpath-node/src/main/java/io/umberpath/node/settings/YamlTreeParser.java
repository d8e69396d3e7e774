package io.umberpath.node.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses one YAML document into a tree with line numbers. Rejects duplicate keys and aliases. */
public final class YamlTreeParser {
  private static final int MAX_DEPTH = 32;
  private static final YAMLFactory FACTORY = new YAMLFactory();

  private final YAMLParser parser;
  private final boolean fromFlag;

  private YamlTreeParser(YAMLParser parser, boolean fromFlag) {
    this.parser = parser;
    this.fromFlag = fromFlag;
  }

  /** Parses the text of a file; empty text yields an empty mapping. */
  public static Either<SettingsProblem, YamlValue> parse(String text) {
    return parse(text, false);
  }

  /** Parses the value of a flag; its values get {@link SettingsProblem#FLAG_LINE}. */
  static Either<SettingsProblem, YamlValue> parseFlag(String text) {
    return parse(text, true);
  }

  private static Either<SettingsProblem, YamlValue> parse(String text, boolean fromFlag) {
    try (YAMLParser parser = FACTORY.createParser(text)) {
      YamlTreeParser tree = new YamlTreeParser(parser, fromFlag);
      if (parser.nextToken() == null) {
        return Either.right(new YamlValue.Mapping(tree.line(), new LinkedHashMap<>()));
      }
      YamlValue value = tree.parseValue("", 0);
      if (parser.nextToken() != null) {
        return Either.left(
            tree.problem("(document)", "more than one document", "must be one document"));
      }
      return Either.right(value);
    } catch (UnacceptableYamlException unacceptable) {
      return Either.left(unacceptable.problem);
    } catch (JsonProcessingException malformed) {
      int line = malformed.getLocation() == null ? 1 : malformed.getLocation().getLineNr();
      String[] lines = malformed.getOriginalMessage().split("\n", 2);
      return Either.left(
          new SettingsProblem(
              fromFlag ? SettingsProblem.FLAG_LINE : line, "(syntax)", "", lines[0]));
    } catch (IOException impossible) {
      return Either.left(new SettingsProblem(1, "(syntax)", "", "not readable as YAML"));
    }
  }

  private YamlValue parseValue(String path, int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw rejection(path, "deeper than " + MAX_DEPTH, "must be nested less deeply");
    }
    if (parser.isCurrentAlias()) {
      throw rejection(path, parser.getText(), "aliases are not supported");
    }
    JsonToken token = parser.currentToken();
    if (token == JsonToken.START_OBJECT) {
      return parseMapping(path, depth);
    }
    if (token == JsonToken.START_ARRAY) {
      return parseSequence(path, depth);
    }
    return new YamlValue.Scalar(line(), parser.getText(), token == JsonToken.VALUE_NULL);
  }

  private YamlValue.Mapping parseMapping(String path, int depth) throws IOException {
    int line = line();
    Map<String, YamlValue> entries = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      String field = path.isEmpty() ? key : path + "." + key;
      if (entries.containsKey(key)) {
        throw rejection(field, key, "is given twice");
      }
      parser.nextToken();
      entries.put(key, parseValue(field, depth + 1));
    }
    return new YamlValue.Mapping(line, entries);
  }

  private YamlValue.Sequence parseSequence(String path, int depth) throws IOException {
    int line = line();
    List<YamlValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(parseValue(path + "[" + items.size() + "]", depth + 1));
    }
    return new YamlValue.Sequence(line, items);
  }

  private int line() {
    return fromFlag ? SettingsProblem.FLAG_LINE : parser.currentTokenLocation().getLineNr();
  }

  private SettingsProblem problem(String field, String value, String message) {
    return new SettingsProblem(line(), field, value, message);
  }

  private UnacceptableYamlException rejection(String field, String value, String message) {
    return new UnacceptableYamlException(problem(field, value, message));
  }

  /** Propagates a problem out of the recursive descent. */
  private static final class UnacceptableYamlException extends IOException {
    private static final long serialVersionUID = 1L;

    private final transient SettingsProblem problem;

    UnacceptableYamlException(SettingsProblem problem) {
      super(problem.toString());
      this.problem = problem;
    }
  }
}
