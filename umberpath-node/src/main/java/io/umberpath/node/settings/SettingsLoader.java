package io.umberpath.node.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Loads the settings of a node from a YAML file and flags. */
public final class SettingsLoader {
  private static final long MAX_FILE_BYTES = 1 << 20;
  private static final int INCARNATION_RANDOM_BITS = 20;

  private SettingsLoader() {}

  /**
   * Loads and validates settings.
   *
   * @param file the settings file
   * @param overrides values from flags
   * @return the settings with a fresh incarnation, or every problem found
   */
  public static Either<List<SettingsProblem>, NodeSettings> load(
      Path file, SettingsOverrides overrides) {
    return read(file).mapLeft(List::of).flatMap(text -> parse(text, overrides, newIncarnation()));
  }

  /**
   * Parses and validates the text of a settings file.
   *
   * @param text YAML
   * @param overrides values from flags
   * @param incarnation distinguishes this process from earlier ones at the same address
   * @return the settings, or every problem found
   */
  public static Either<List<SettingsProblem>, NodeSettings> parse(
      String text, SettingsOverrides overrides, long incarnation) {
    Either<SettingsProblem, YamlValue> tree = YamlTreeParser.parse(text);
    if (tree.isLeft()) {
      return Either.left(List.of(tree.getLeft()));
    }
    List<SettingsProblem> problems = new ArrayList<>();
    if (tree.get() instanceof YamlValue.Mapping root) {
      overrides.applyTo(root, problems);
    }
    MappingReader reader = MappingReader.root(tree.get(), problems);
    NodeSettings settings = new SettingsReader(incarnation).read(reader);
    reader.rejectUnknownFields();
    return problems.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(problems));
  }

  /** Reads a UTF-8 file of at most 1 MiB. */
  public static Either<SettingsProblem, String> read(Path file) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        return Either.left(fileProblem(file, "must not exceed " + MAX_FILE_BYTES + " bytes"));
      }
      return Either.right(Files.readString(file));
    } catch (NoSuchFileException missing) {
      return Either.left(fileProblem(file, "does not exist"));
    } catch (CharacterCodingException malformed) {
      return Either.left(fileProblem(file, "is not UTF-8 text"));
    } catch (IOException unreadable) {
      return Either.left(fileProblem(file, "cannot be read: " + unreadable.getClass().getName()));
    }
  }

  private static SettingsProblem fileProblem(Path file, String message) {
    return new SettingsProblem(SettingsProblem.FLAG_LINE, "file", file.toString(), message);
  }

  /** Increases with the clock; random bits distinguish processes started in one millisecond. */
  private static long newIncarnation() {
    long random = ThreadLocalRandom.current().nextLong(1L << INCARNATION_RANDOM_BITS);
    return (System.currentTimeMillis() << INCARNATION_RANDOM_BITS) | random;
  }
}
