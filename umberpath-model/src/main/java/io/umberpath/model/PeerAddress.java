package io.umberpath.model;

/**
 * Address where a node listens for other nodes; also the stable identity of the node of a machine.
 *
 * @param host IP address
 * @param port TCP port, 1 to 65535
 */
public record PeerAddress(String host, int port) implements Comparable<PeerAddress> {
  /** Highest TCP port. */
  public static final int MAX_PORT = 65_535;

  @Override
  public int compareTo(PeerAddress other) {
    int byHost = host.compareTo(other.host);
    return byHost != 0 ? byHost : Integer.compare(port, other.port);
  }

  /**
   * Parses {@code host:port}.
   *
   * @throws IllegalArgumentException if the text has no port or the port is out of range
   */
  public static PeerAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("'" + text + "' is not host:port");
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port in '" + text + "' is not between 1 and " + MAX_PORT);
    }
    return new PeerAddress(text.substring(0, colon), port);
  }

  // Implemented explicitly, here and in other records that are compared during startup: the
  // compiler-generated methods make the JVM generate classes at each start.
  @Override
  public boolean equals(Object other) {
    return other instanceof PeerAddress address
        && port == address.port
        && host.equals(address.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
