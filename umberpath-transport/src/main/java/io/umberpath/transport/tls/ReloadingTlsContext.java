package io.umberpath.transport.tls;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.umberpath.transport.TransportSecurity.MutualTls;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.net.ssl.SSLContext;
import org.glassfish.grizzly.ssl.SSLFilter;

/**
 * Provides the TLS context of the last successful load of the certificate files. Thread-safe,
 * except that {@link #reload} must be called by a single thread.
 */
public final class ReloadingTlsContext {
  private final MutualTls security;
  private HashCode loadedContentHash;
  private volatile SSLContext context;

  private ReloadingTlsContext(MutualTls security, HashCode contentHash, SSLContext context) {
    this.security = security;
    this.loadedContentHash = contentHash;
    this.context = context;
  }

  /**
   * Loads the files for the first time.
   *
   * @throws IOException if a file cannot be read or has invalid content
   */
  public static ReloadingTlsContext load(MutualTls security) throws IOException {
    HashCode contentHash = hashContent(security);
    Try<SSLContext> loaded = TlsContextLoader.load(security);
    if (loaded.isFailure()) {
      throw new IOException(
          "failed to load TLS files: " + loaded.getCause().getMessage(), loaded.getCause());
    }
    return new ReloadingTlsContext(security, contentHash, loaded.get());
  }

  /** Returns the context for new connections. */
  SSLContext context() {
    return context;
  }

  /**
   * Creates a filter that uses the current context for each new connection, in either direction.
   */
  public SSLFilter filter() {
    return new SSLFilter(
        new MutualTlsEngineConfigurator(this, false), new MutualTlsEngineConfigurator(this, true));
  }

  /**
   * Loads the files again if their content has changed.
   *
   * @return whether a new context is in use, or the reason why the previous one stays in use;
   *     invalid content is reported once until it changes, an unreadable file at each call
   */
  public Either<String, Boolean> reload() {
    Try<HashCode> contentHash = Try.of(() -> hashContent(security));
    if (contentHash.isFailure()) {
      return Either.left(String.valueOf(contentHash.getCause()));
    }
    if (contentHash.get().equals(loadedContentHash)) {
      return Either.right(false);
    }
    loadedContentHash = contentHash.get();
    Try<SSLContext> loaded = TlsContextLoader.load(security);
    loaded.forEach(next -> context = next);
    return loaded.toEither().mapLeft(String::valueOf).map(next -> true);
  }

  private static HashCode hashContent(MutualTls security) throws IOException {
    Hasher hasher = Hashing.sha256().newHasher();
    for (Path file : TlsContextLoader.listFiles(security)) {
      byte[] content = Files.readAllBytes(file);
      hasher.putInt(content.length).putBytes(content);
    }
    return hasher.hash();
  }
}
