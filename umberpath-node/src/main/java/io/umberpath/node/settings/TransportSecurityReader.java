package io.umberpath.node.settings;

import com.google.common.net.InetAddresses;
import io.umberpath.model.PeerAddress;
import io.umberpath.transport.TransportSecurity;
import io.umberpath.transport.TransportSecurity.Identity;
import io.umberpath.transport.TransportSecurity.MutualTls;
import io.umberpath.transport.TransportSecurity.PemIdentity;
import io.umberpath.transport.TransportSecurity.PlainTextLoopback;
import java.nio.file.Path;

/** Reads the {@code transport} mapping: security of connections between nodes. */
final class TransportSecurityReader {
  private static final String GROUP = "transport";
  private static final String AUTHORITIES = "authorities";
  private static final String CERTIFICATES = "certificates";
  private static final String PRIVATE_KEY = "privateKey";
  private static final String KEY_STORE = "keyStore";
  private static final String PASSWORD_FILE = "passwordFile";

  private TransportSecurityReader() {}

  /** Defaults to plain text if the mapping is absent, which is allowed only on loopback. */
  static TransportSecurity read(MappingReader root, PeerAddress address) {
    boolean given = root.isPresent(GROUP);
    TransportSecurity security =
        root.<TransportSecurity>optionalGroup(GROUP, TransportSecurityReader::readMutualTls)
            .orElse(new PlainTextLoopback());
    if (!given && !InetAddresses.forString(address.host()).isLoopbackAddress()) {
      root.addProblem(GROUP, "is required because node.address is not on loopback");
    }
    return security;
  }

  private static MutualTls readMutualTls(MappingReader transport) {
    boolean pem = transport.isPresent(CERTIFICATES) || transport.isPresent(PRIVATE_KEY);
    boolean pkcs12 = transport.isPresent(KEY_STORE) || transport.isPresent(PASSWORD_FILE);
    if (pem && pkcs12) {
      transport.addProblem(
          transport.isPresent(CERTIFICATES) ? CERTIFICATES : PRIVATE_KEY,
          "give either certificates and privateKey or keyStore and passwordFile");
    }
    Identity identity = pkcs12 ? readPkcs12(transport) : readPem(transport);
    return new MutualTls(identity, readPath(transport, AUTHORITIES));
  }

  private static Identity readPem(MappingReader transport) {
    return new PemIdentity(readPath(transport, CERTIFICATES), readPath(transport, PRIVATE_KEY));
  }

  private static Identity readPkcs12(MappingReader transport) {
    return new TransportSecurity.Pkcs12Identity(
        readPath(transport, KEY_STORE), readPath(transport, PASSWORD_FILE));
  }

  private static Path readPath(MappingReader transport, String key) {
    return Path.of(transport.text(key));
  }
}
