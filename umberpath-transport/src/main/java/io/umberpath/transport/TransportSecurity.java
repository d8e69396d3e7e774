package io.umberpath.transport;

import java.nio.file.Path;

/** How connections between nodes are protected. */
public sealed interface TransportSecurity {
  /** No protection; only loopback addresses may be listened on and connected to. */
  record PlainTextLoopback() implements TransportSecurity {}

  /**
   * TLS 1.3 in which both sides show a certificate of a trusted authority. Changed files are taken
   * for new connections without a restart; files that cannot be read leave the former ones in use.
   *
   * @param identity this node's certificate and key
   * @param authorities PEM file with the certificates of the authorities to trust
   */
  record MutualTls(Identity identity, Path authorities) implements TransportSecurity {}

  /** Where this node's certificate and key are. */
  sealed interface Identity {}

  /**
   * PEM files.
   *
   * @param certificates this node's certificate, followed by intermediate ones
   * @param privateKey unencrypted PKCS #8 key
   */
  record PemIdentity(Path certificates, Path privateKey) implements Identity {}

  /**
   * A PKCS #12 key store with one key.
   *
   * @param keyStore the key store
   * @param passwordFile file whose first line is its password
   */
  record Pkcs12Identity(Path keyStore, Path passwordFile) implements Identity {}
}
