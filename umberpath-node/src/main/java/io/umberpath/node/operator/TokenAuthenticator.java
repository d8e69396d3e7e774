package io.umberpath.node.operator;

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import io.umberpath.api.v1.ErrorReason;
import io.umberpath.node.settings.NodeSettings;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * Authenticates calls by the metadata entry {@code authorization: Bearer TOKEN}. Stores only token
 * hashes; each call is compared with all of them in constant time. Thread-safe.
 */
final class TokenAuthenticator implements ServerInterceptor {
  private static final int MAX_TOKEN_LENGTH = 1_024;

  private final List<KnownToken> knownTokens = new ArrayList<>();

  private record KnownToken(byte[] sha256, Principal principal) {}

  TokenAuthenticator(List<NodeSettings.Token> tokens) {
    for (NodeSettings.Token token : tokens) {
      knownTokens.add(new KnownToken(HexFormat.of().parseHex(token.sha256()), Principal.of(token)));
    }
  }

  @Override
  public <RequestT, ResponseT> ServerCall.Listener<RequestT> interceptCall(
      ServerCall<RequestT, ResponseT> call,
      Metadata headers,
      ServerCallHandler<RequestT, ResponseT> next) {
    Optional<Principal> principal = authenticate(headers);
    if (principal.isEmpty()) {
      OperatorError error =
          OperatorError.notRun(
              Status.Code.UNAUTHENTICATED,
              ErrorReason.ERROR_REASON_UNAUTHENTICATED,
              "the call needs one metadata entry 'authorization: Bearer TOKEN' with a known token",
              List.of());
      call.close(error.toStatus(), error.toTrailers());
      return new ServerCall.Listener<>() {};
    }
    Context context = Context.current().withValue(Principal.KEY, principal.get());
    return Contexts.interceptCall(context, call, headers, next);
  }

  private Optional<Principal> authenticate(Metadata headers) {
    Iterable<String> all = headers.getAll(BearerToken.AUTHORIZATION);
    if (all == null) {
      return Optional.empty();
    }
    List<String> values = new ArrayList<>();
    all.forEach(values::add);
    if (values.size() != 1 || values.get(0).length() > MAX_TOKEN_LENGTH) {
      return Optional.empty();
    }
    return BearerToken.parse(values.get(0)).flatMap(token -> find(sha256(token)));
  }

  /** Compares with every known hash so that timing does not reveal which one matched. */
  private Optional<Principal> find(byte[] sha256) {
    Principal found = null;
    for (KnownToken candidate : knownTokens) {
      if (MessageDigest.isEqual(candidate.sha256(), sha256)) {
        found = candidate.principal();
      }
    }
    return Optional.ofNullable(found);
  }

  private static byte[] sha256(String token) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("every Java platform has SHA-256", impossible);
    }
  }
}
