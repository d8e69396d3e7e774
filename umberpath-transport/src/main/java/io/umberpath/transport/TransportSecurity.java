package io.umberpath.transport;

import java.nio.file.Path;

/** How connections between nodes are secured. */
public sealed interface TransportSecurity {
  /** Plain text; the node may listen on and connect to loopback addresses only. */
  record PlainTextLoopback() implements TransportSecurity {}

  /**
   * TLS 1.3 in which both sides present a certificate issued by a trusted authority. Changed files
   * are reloaded without a restart and apply to new connections; if they cannot be loaded, the
   * previous ones stay in use.
   *
   * @param identity this node's certificate and key
   * @param authorities PEM file with the certificates of the authorities to trust
   */
  record MutualTls(Identity identity, Path authorities) implements TransportSecurity {}

  /** Location of this node's certificate and private key. */
  sealed interface Identity {}

  /**
   * Certificate and key in PEM files.
   *
   * @param certificates this node's certificate, followed by intermediate certificates
   * @param privateKey unencrypted PKCS #8 key
   */
  record PemIdentity(Path certificates, Path privateKey) implements Identity {}

  /**
   * A PKCS #12 key store with one key.
   *
   * @param keyStore the key store
   * @param passwordFile file whose first line is the password of the key store
   */
  record Pkcs12Identity(Path keyStore, Path passwordFile) implements Identity {}
}
