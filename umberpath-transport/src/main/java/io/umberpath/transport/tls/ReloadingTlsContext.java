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
 * The TLS context of the certificate files as they were when last loaded whole. Thread-safe; {@link
 * #reload} is called by one thread.
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
   * @throws IOException if a file cannot be read or is not what it should be
   */
  public static ReloadingTlsContext load(MutualTls security) throws IOException {
    HashCode contentHash = hashContent(security);
    Try<SSLContext> loaded = TlsContextLoader.load(security);
    if (loaded.isFailure()) {
      throw new IOException(
          "TLS files cannot be loaded: " + loaded.getCause().getMessage(), loaded.getCause());
    }
    return new ReloadingTlsContext(security, contentHash, loaded.get());
  }

  /** The context for new connections. */
  SSLContext context() {
    return context;
  }

  /** A filter that takes the newest context for each new connection, in either direction. */
  public SSLFilter filter() {
    return new SSLFilter(
        new MutualTlsEngineConfigurator(this, false), new MutualTlsEngineConfigurator(this, true));
  }

  /**
   * Loads the files again if their content has changed.
   *
   * @return whether a new context is in use, or why the former one stays; an unchanged fault is
   *     reported once
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
