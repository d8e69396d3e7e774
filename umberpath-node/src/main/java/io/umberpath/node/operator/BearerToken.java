package io.umberpath.node.operator;

import io.grpc.ClientInterceptor;
import io.grpc.Metadata;
import io.grpc.stub.MetadataUtils;
import java.util.Optional;

/** Encodes an operator's token as the metadata entry {@code authorization: Bearer TOKEN}. */
public final class BearerToken {
  static final Metadata.Key<String> AUTHORIZATION =
      Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);

  private static final String SCHEME = "Bearer ";

  private BearerToken() {}

  /** Returns a client interceptor that sends the token with every call. */
  public static ClientInterceptor attach(String token) {
    Metadata headers = new Metadata();
    headers.put(AUTHORIZATION, SCHEME + token);
    return MetadataUtils.newAttachHeadersInterceptor(headers);
  }

  /** Extracts the token from an entry's value; empty if the scheme is not Bearer. */
  static Optional<String> parse(String value) {
    return value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
        ? Optional.of(value.substring(SCHEME.length()).strip())
        : Optional.empty();
  }
}
