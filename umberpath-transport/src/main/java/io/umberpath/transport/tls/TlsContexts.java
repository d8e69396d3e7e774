package io.umberpath.transport.tls;

import io.umberpath.transport.TransportSecurity.Identity;
import io.umberpath.transport.TransportSecurity.MutualTls;
import io.umberpath.transport.TransportSecurity.PemIdentity;
import io.umberpath.transport.TransportSecurity.Pkcs12Identity;
import io.vavr.control.Try;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.util.List;
import java.util.stream.Stream;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** Builds TLS contexts from files. */
final class TlsContexts {
  /** The one protocol that nodes speak. */
  static final String PROTOCOL = "TLSv1.3";

  private static final String KEY_STORE_TYPE = "PKCS12";
  private static final char[] IN_MEMORY_PASSWORD = {};

  private TlsContexts() {}

  /** Loads every file anew; the failure says which one is at fault. */
  static Try<SSLContext> load(MutualTls security) {
    return Try.of(() -> create(security));
  }

  /** The files a context depends on. */
  static List<Path> files(MutualTls security) {
    Identity identity = security.identity();
    Stream<Path> own =
        identity instanceof PemIdentity pem
            ? Stream.of(pem.certificates(), pem.privateKey())
            : Stream.of(
                ((Pkcs12Identity) identity).keyStore(), ((Pkcs12Identity) identity).passwordFile());
    return Stream.concat(own, Stream.of(security.authorities())).toList();
  }

  private static SSLContext create(MutualTls security)
      throws IOException, GeneralSecurityException {
    Identity identity = security.identity();
    KeyManagerFactory keys =
        identity instanceof PemIdentity pem ? fromPem(pem) : fromPkcs12((Pkcs12Identity) identity);
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(authorities(security.authorities()));
    SSLContext context = SSLContext.getInstance(PROTOCOL);
    context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
    return context;
  }

  private static KeyManagerFactory fromPem(PemIdentity pem)
      throws IOException, GeneralSecurityException {
    Certificate[] chain = PemFiles.certificates(pem.certificates()).toArray(Certificate[]::new);
    KeyStore store = emptyStore();
    store.setKeyEntry("node", PemFiles.privateKey(pem.privateKey()), IN_MEMORY_PASSWORD, chain);
    return keyManagers(store, IN_MEMORY_PASSWORD);
  }

  private static KeyManagerFactory fromPkcs12(Pkcs12Identity identity)
      throws IOException, GeneralSecurityException {
    String password = Files.readString(identity.passwordFile()).lines().findFirst().orElse("");
    KeyStore store = KeyStore.getInstance(KEY_STORE_TYPE);
    try (InputStream input = Files.newInputStream(identity.keyStore())) {
      store.load(input, password.toCharArray());
    }
    return keyManagers(store, password.toCharArray());
  }

  private static KeyManagerFactory keyManagers(KeyStore store, char[] password)
      throws GeneralSecurityException {
    KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keys.init(store, password);
    return keys;
  }

  private static KeyStore authorities(Path file) throws IOException, GeneralSecurityException {
    KeyStore store = emptyStore();
    for (Certificate certificate : PemFiles.certificates(file)) {
      store.setCertificateEntry("authority-" + store.size(), certificate);
    }
    return store;
  }

  private static KeyStore emptyStore() throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance(KEY_STORE_TYPE);
    store.load(null, IN_MEMORY_PASSWORD);
    return store;
  }
}
