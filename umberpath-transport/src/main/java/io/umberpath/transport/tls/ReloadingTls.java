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
public final class ReloadingTls {
  private final MutualTls security;
  private HashCode loadedContent;
  private volatile SSLContext context;

  private ReloadingTls(MutualTls security, HashCode content, SSLContext context) {
    this.security = security;
    this.loadedContent = content;
    this.context = context;
  }

  /**
   * Loads the files for the first time.
   *
   * @throws IOException if a file cannot be read or is not what it should be
   */
  public static ReloadingTls load(MutualTls security) throws IOException {
    HashCode content = contentOf(security);
    Try<SSLContext> loaded = TlsContexts.load(security);
    if (loaded.isFailure()) {
      throw new IOException(
          "TLS files cannot be loaded: " + loaded.getCause().getMessage(), loaded.getCause());
    }
    return new ReloadingTls(security, content, loaded.get());
  }

  /** The context for new connections. */
  SSLContext context() {
    return context;
  }

  /** A filter that takes the newest context for each new connection, in either direction. */
  public SSLFilter filter() {
    return new SSLFilter(new MutualTlsEngines(this, false), new MutualTlsEngines(this, true));
  }

  /**
   * Loads the files again if their content has changed.
   *
   * @return whether a new context is in use, or why the former one stays; an unchanged fault is
   *     reported once
   */
  public Either<String, Boolean> reload() {
    Try<HashCode> content = Try.of(() -> contentOf(security));
    if (content.isFailure()) {
      return Either.left(String.valueOf(content.getCause()));
    }
    if (content.get().equals(loadedContent)) {
      return Either.right(false);
    }
    loadedContent = content.get();
    Try<SSLContext> loaded = TlsContexts.load(security);
    loaded.forEach(next -> context = next);
    return loaded.toEither().mapLeft(String::valueOf).map(next -> true);
  }

  private static HashCode contentOf(MutualTls security) throws IOException {
    Hasher hasher = Hashing.sha256().newHasher();
    for (Path file : TlsContexts.files(security)) {
      byte[] content = Files.readAllBytes(file);
      hasher.putInt(content.length).putBytes(content);
    }
    return hasher.hash();
  }
}
