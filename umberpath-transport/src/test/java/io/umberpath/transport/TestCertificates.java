package io.umberpath.transport;

import io.umberpath.transport.TransportSecurity.MutualTls;
import io.umberpath.transport.TransportSecurity.PemIdentity;
import io.umberpath.transport.TransportSecurity.Pkcs12Identity;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.Key;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Creates certificate authorities and node certificates in a directory with the JDK's {@code
 * keytool}.
 */
final class TestCertificates {
  static final String PASSWORD = "test-password";

  private final Path directory;

  TestCertificates(Path directory) throws IOException {
    this.directory = directory;
    Files.writeString(passwordFile(), PASSWORD + "\n");
  }

  /** Creates a self-signed certificate authority. */
  void authority(String name) throws Exception {
    keytool(name, name, List.of("-ext", "bc:c=ca:true", "-ext", "ku:c=keyCertSign"));
    export(name, name);
  }

  /**
   * Creates a node certificate signed by an authority; with negative days it has already expired.
   */
  void node(String name, String authority, int validDays) throws Exception {
    int startDay = Math.min(validDays, 0) - 1;
    List<String> arguments =
        List.of(
            "-signer",
            authority,
            "-startdate",
            startDay + "d",
            "-validity",
            Integer.toString(validDays < 0 ? 1 : validDays + 1));
    keytool(name, authority, arguments);
    export(name, authority);
  }

  private void keytool(String alias, String store, List<String> extraArguments) throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(List.of("-genkeypair", "-alias", alias, "-dname", "CN=" + alias));
    command.addAll(List.of("-keyalg", "EC", "-storetype", "PKCS12", "-storepass", PASSWORD));
    command.addAll(List.of("-keystore", storeOf(store).toString()));
    command.addAll(extraArguments);
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes());
    if (!process.waitFor(60, TimeUnit.SECONDS) || process.exitValue() != 0) {
      throw new IllegalStateException("keytool failed: " + output);
    }
  }

  private void export(String name, String authority) throws Exception {
    KeyStore store = KeyStore.getInstance(storeOf(authority).toFile(), password());
    Certificate[] chain = store.getCertificateChain(name);
    Key key = store.getKey(name, password());
    Files.writeString(directory.resolve(name + ".pem"), pem("CERTIFICATE", chain[0].getEncoded()));
    Files.writeString(directory.resolve(name + ".key"), pem("PRIVATE KEY", key.getEncoded()));
    KeyStore own = KeyStore.getInstance("PKCS12");
    own.load(null, null);
    own.setKeyEntry("node", key, password(), chain);
    try (OutputStream output = Files.newOutputStream(directory.resolve(name + ".p12"))) {
      own.store(output, password());
    }
  }

  private static String pem(String type, byte[] content) {
    String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content);
    return "-----BEGIN " + type + "-----\n" + body + "\n-----END " + type + "-----\n";
  }

  private static char[] password() {
    return PASSWORD.toCharArray();
  }

  private Path storeOf(String authority) {
    return directory.resolve("authority-" + authority + ".p12");
  }

  private Path passwordFile() {
    return directory.resolve("password");
  }

  MutualTls pem(String name, String authority) {
    return new MutualTls(
        new PemIdentity(directory.resolve(name + ".pem"), directory.resolve(name + ".key")),
        directory.resolve(authority + ".pem"));
  }

  MutualTls pkcs12(String name, String authority) {
    return new MutualTls(
        new Pkcs12Identity(directory.resolve(name + ".p12"), passwordFile()),
        directory.resolve(authority + ".pem"));
  }

  /**
   * Overwrites a node's certificate and key with those of another, as a certificate renewal does.
   */
  void replace(String name, String replacement) throws IOException {
    for (String suffix : List.of(".pem", ".key")) {
      try (OutputStream output = Files.newOutputStream(directory.resolve(name + suffix))) {
        Files.copy(directory.resolve(replacement + suffix), output);
      }
    }
  }

  void write(String file, String content) throws IOException {
    Files.writeString(directory.resolve(file), content);
  }
}
