package io.umberpath.node.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.grpc.StatusRuntimeException;
import io.umberpath.api.v1.ConfigurationGrpc.ConfigurationBlockingStub;
import io.umberpath.model.PeerAddress;
import io.umberpath.node.settings.Durations;
import io.umberpath.node.settings.SettingsLoader;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.kohsuke.args4j.Option;

/** A subcommand that calls the operator API. Servers are tried in order. */
abstract class OperatorCommand extends Command {
  private static final String SERVER_VARIABLE = "UMBERPATH_SERVER";
  private static final String TOKEN_VARIABLE = "UMBERPATH_TOKEN";
  private static final String TOKEN_FILE_VARIABLE = "UMBERPATH_TOKEN_FILE";
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

  @Option(
      name = "--server",
      metaVar = "IP:PORT",
      usage = "operators' port of any node; may be repeated (default: $UMBERPATH_SERVER)")
  private List<String> servers = new ArrayList<>();

  @Option(
      name = "--token-file",
      metaVar = "FILE",
      usage =
          "file with the token (default: $UMBERPATH_TOKEN_FILE, or the token in $UMBERPATH_TOKEN)")
  private String tokenFile;

  @Option(
      name = "--timeout",
      metaVar = "DURATION",
      usage = "for example 500ms or 2m (default: 30s)")
  private String timeout = "30s";

  @Option(name = "--json", usage = "print the answer as JSON")
  private boolean json;

  /** A call to a server. */
  @FunctionalInterface
  interface Call<T> {
    /** Executes the call; throws {@link StatusRuntimeException} on failure. */
    T on(ConfigurationBlockingStub server);
  }

  /** Executes a read-only call. */
  final <T> Either<CallFailure, T> read(Call<T> call) throws UsageException {
    return call(call, false);
  }

  /** Executes a mutating call, which must be idempotent because other servers may be tried. */
  final <T> Either<CallFailure, T> change(Call<T> call) throws UsageException {
    return call(call, true);
  }

  private <T> Either<CallFailure, T> call(Call<T> call, boolean changes) throws UsageException {
    List<PeerAddress> addresses = addresses();
    String token = token();
    Duration callTimeout = timeout();
    Optional<CallFailure> mostSevereFailure = Optional.empty();
    for (PeerAddress address : addresses) {
      try (ServerConnection connection = new ServerConnection(address, token)) {
        if (!connection.connect(CONNECT_TIMEOUT)) {
          continue;
        }
        return Either.right(call.on(connection.stub(callTimeout)));
      } catch (StatusRuntimeException exception) {
        CallFailure failure = CallFailure.of(exception, changes);
        mostSevereFailure =
            mostSevereFailure
                .filter(previous -> previous.exitCode() == ExitCode.MAY_HAVE_RUN)
                .or(() -> Optional.of(failure));
        if (failure.exitCode() == ExitCode.REFUSED) {
          break;
        }
      }
    }
    return Either.left(
        mostSevereFailure.orElseGet(() -> CallFailure.unreachable(addresses.toString())));
  }

  /** Prints a response or a failure and returns the exit code. */
  final <T extends Message> ExitCode print(
      Output output, Either<CallFailure, T> result, Function<T, String> text) {
    if (result.isLeft()) {
      result.getLeft().print(output.err());
      return result.getLeft().exitCode();
    }
    output.out().println(json ? toJson(result.get()) : text.apply(result.get()));
    output.out().flush();
    return ExitCode.OK;
  }

  private static String toJson(Message message) {
    try {
      return JsonFormat.printer().omittingInsignificantWhitespace().print(message);
    } catch (InvalidProtocolBufferException impossible) {
      throw new IllegalStateException("messages of this schema hold no Any", impossible);
    }
  }

  final Duration timeout() throws UsageException {
    return Duration.ofMillis(
        Durations.parseMillis(timeout)
            .filter(millis -> millis > 0)
            .orElseThrow(() -> new UsageException("--timeout must be a duration such as 30s")));
  }

  private List<PeerAddress> addresses() throws UsageException {
    List<String> texts = new ArrayList<>(servers);
    String variable = System.getenv(SERVER_VARIABLE);
    if (texts.isEmpty() && variable != null) {
      texts.addAll(List.of(variable.split(",")));
    }
    if (texts.isEmpty()) {
      throw new UsageException("name a server with --server IP:PORT or $" + SERVER_VARIABLE);
    }
    List<PeerAddress> addresses = new ArrayList<>();
    for (String text : texts) {
      try {
        addresses.add(PeerAddress.parse(text));
      } catch (IllegalArgumentException malformed) {
        throw new UsageException("--server '" + text + "' must be IP:PORT");
      }
    }
    return addresses;
  }

  private String token() throws UsageException {
    String file = tokenFile != null ? tokenFile : System.getenv(TOKEN_FILE_VARIABLE);
    if (file != null) {
      return SettingsLoader.read(Path.of(file))
          .map(String::strip)
          .getOrElseThrow(problem -> new UsageException("token file: " + problem.message()));
    }
    String token = System.getenv(TOKEN_VARIABLE);
    if (token == null || token.isBlank()) {
      throw new UsageException(
          "name a token with --token-file FILE, $"
              + TOKEN_FILE_VARIABLE
              + " or $"
              + TOKEN_VARIABLE);
    }
    return token.strip();
  }
}
