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

/** Creates TLS contexts from certificate and key files. */
final class TlsContextLoader {
  /** The only TLS version that nodes accept. */
  static final String PROTOCOL = "TLSv1.3";

  private static final String KEY_STORE_TYPE = "PKCS12";
  private static final char[] IN_MEMORY_PASSWORD = {};

  private TlsContextLoader() {}

  /** Reads all files and creates a context; the failure names the file at fault. */
  static Try<SSLContext> load(MutualTls security) {
    return Try.of(() -> create(security));
  }

  /** Lists the files from which a context is created. */
  static List<Path> listFiles(MutualTls security) {
    Identity identity = security.identity();
    Stream<Path> identityFiles =
        identity instanceof PemIdentity pem
            ? Stream.of(pem.certificates(), pem.privateKey())
            : Stream.of(
                ((Pkcs12Identity) identity).keyStore(), ((Pkcs12Identity) identity).passwordFile());
    return Stream.concat(identityFiles, Stream.of(security.authorities())).toList();
  }

  private static SSLContext create(MutualTls security)
      throws IOException, GeneralSecurityException {
    Identity identity = security.identity();
    KeyManagerFactory keyManagerFactory =
        identity instanceof PemIdentity pem ? loadPem(pem) : loadPkcs12((Pkcs12Identity) identity);
    TrustManagerFactory trustManagerFactory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trustManagerFactory.init(loadAuthorities(security.authorities()));
    SSLContext context = SSLContext.getInstance(PROTOCOL);
    context.init(keyManagerFactory.getKeyManagers(), trustManagerFactory.getTrustManagers(), null);
    return context;
  }

  private static KeyManagerFactory loadPem(PemIdentity pem)
      throws IOException, GeneralSecurityException {
    Certificate[] chain = PemFiles.readCertificates(pem.certificates()).toArray(Certificate[]::new);
    KeyStore store = createEmptyKeyStore();
    store.setKeyEntry("node", PemFiles.readPrivateKey(pem.privateKey()), IN_MEMORY_PASSWORD, chain);
    return createKeyManagerFactory(store, IN_MEMORY_PASSWORD);
  }

  private static KeyManagerFactory loadPkcs12(Pkcs12Identity identity)
      throws IOException, GeneralSecurityException {
    String password = Files.readString(identity.passwordFile()).lines().findFirst().orElse("");
    KeyStore store = KeyStore.getInstance(KEY_STORE_TYPE);
    try (InputStream input = Files.newInputStream(identity.keyStore())) {
      store.load(input, password.toCharArray());
    }
    return createKeyManagerFactory(store, password.toCharArray());
  }

  private static KeyManagerFactory createKeyManagerFactory(KeyStore store, char[] password)
      throws GeneralSecurityException {
    KeyManagerFactory keyManagerFactory =
        KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keyManagerFactory.init(store, password);
    return keyManagerFactory;
  }

  private static KeyStore loadAuthorities(Path file) throws IOException, GeneralSecurityException {
    KeyStore store = createEmptyKeyStore();
    for (Certificate certificate : PemFiles.readCertificates(file)) {
      store.setCertificateEntry("authority-" + store.size(), certificate);
    }
    return store;
  }

  private static KeyStore createEmptyKeyStore() throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance(KEY_STORE_TYPE);
    store.load(null, IN_MEMORY_PASSWORD);
    return store;
  }
}
