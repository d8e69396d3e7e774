package io.umberpath.node.cli;

import com.google.protobuf.ByteString;
import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.api.v1.Kind;
import io.umberpath.api.v1.Pool;
import io.umberpath.api.v1.Resource;
import io.umberpath.api.v1.ResourceKey;
import io.umberpath.api.v1.Route;
import io.umberpath.api.v1.Secret;
import io.umberpath.api.v1.Tier;
import io.umberpath.node.settings.MappingReader;
import io.umberpath.node.settings.SettingsLoader;
import io.umberpath.node.settings.SettingsProblem;
import io.umberpath.node.settings.YamlTreeParser;
import io.umberpath.node.settings.YamlValue;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Parses a change set in YAML. The server validates the field values; this class checks that the
 * file is well formed so that errors are reported with their line.
 */
final class ChangeFile {
  private final Path directory;

  private ChangeFile(Path directory) {
    this.directory = directory;
  }

  private enum TierName {
    PREMIUM,
    STANDARD,
    BASIC
  }

  private enum KindName {
    ROUTE,
    POOL,
    SECRET
  }

  /**
   * Parses a change file.
   *
   * @param text YAML
   * @param directory base directory of relative file names in the change
   * @return the request, with an empty request id if the file has none, or every problem found
   */
  static Either<List<SettingsProblem>, ApplyRequest> parse(String text, Path directory) {
    Either<SettingsProblem, YamlValue> tree = YamlTreeParser.parse(text);
    if (tree.isLeft()) {
      return Either.left(List.of(tree.getLeft()));
    }
    List<SettingsProblem> problems = new ArrayList<>();
    MappingReader reader = MappingReader.root(tree.get(), problems);
    ApplyRequest request = new ChangeFile(directory).read(reader);
    reader.rejectUnknownFields();
    return problems.isEmpty() ? Either.right(request) : Either.left(problems);
  }

  private ApplyRequest read(MappingReader file) {
    ApplyRequest.Builder request =
        ApplyRequest.newBuilder()
            .setRequestId(file.text("requestId", ""))
            .setTenant(file.text("tenant", ""))
            .setTier(tier(file))
            .addAllUpserts(file.sensitiveGroups("secrets", this::secret))
            .addAllUpserts(file.groups("pools", ChangeFile::pool))
            .addAllUpserts(file.groups("routes", ChangeFile::route))
            .addAllDeletes(file.groups("deletes", ChangeFile::delete));
    expectedVersion(file, request);
    return request.build();
  }

  private static void expectedVersion(MappingReader file, ApplyRequest.Builder request) {
    Optional<String> text = file.optionalText("expectedVersion");
    if (text.isPresent()) {
      try {
        request.setExpectedVersion(Names.version(text.get()));
      } catch (UsageException malformed) {
        file.addProblem("expectedVersion", Names.VERSION_RULE);
      }
    }
  }

  private static Tier tier(MappingReader reader) {
    if (!reader.isPresent("tier")) {
      return Tier.TIER_UNSPECIFIED;
    }
    return Tier.valueOf("TIER_" + reader.choice("tier", TierName.class, TierName.BASIC).name());
  }

  private static Resource.Builder named(MappingReader reader) {
    return Resource.newBuilder().setName(reader.text("name")).setTier(tier(reader));
  }

  private static Resource pool(MappingReader reader) {
    Pool pool =
        Pool.newBuilder()
            .setService(reader.text("service"))
            .setSlotsPerBackend(reader.smallInteger("slotsPerBackend", 1, Integer.MAX_VALUE))
            .setConnectionsPerBackend(
                reader.smallInteger("connectionsPerBackend", 1, Integer.MAX_VALUE))
            .build();
    return named(reader).setPool(pool).build();
  }

  private static Resource route(MappingReader reader) {
    Route.Builder route =
        Route.newBuilder()
            .setHost(reader.text("host", "*"))
            .setPathPrefix(reader.text("pathPrefix"))
            .setPool(reader.text("pool"))
            .addAllRepeatableMethods(reader.texts("repeatableMethods"))
            .setTimeoutMillis(reader.integer("timeoutMillis", 1, Integer.MAX_VALUE));
    reader.optionalText("secret").ifPresent(route::setSecret);
    return named(reader).setRoute(route).build();
  }

  private Resource secret(MappingReader reader) {
    Optional<String> value = reader.optionalText("value");
    Optional<String> file = reader.optionalText("valueFile");
    if (value.isPresent() == file.isPresent()) {
      reader.addRedactedProblem("value", "give either value or valueFile");
    }
    String text =
        file.map(
                name ->
                    SettingsLoader.read(directory.resolve(name))
                        .map(String::strip)
                        .peekLeft(problem -> reader.addProblem("valueFile", problem.message()))
                        .getOrElse(""))
            .or(() -> value)
            .orElse("");
    Secret secret = Secret.newBuilder().setValue(ByteString.copyFromUtf8(text)).build();
    return named(reader).setSecret(secret).build();
  }

  private static ResourceKey delete(MappingReader reader) {
    KindName kind = reader.choice("kind", KindName.class, KindName.ROUTE);
    if (!reader.isPresent("kind")) {
      reader.addProblem("kind", "is required");
    }
    return ResourceKey.newBuilder()
        .setKind(Kind.valueOf("KIND_" + kind.name()))
        .setName(reader.text("name"))
        .build();
  }
}
