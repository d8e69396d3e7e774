package io.umberpath.lab.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;

/**
 * A /24 of loopback addresses that no other cluster on this machine uses: a socket bound to its
 * last address marks it as taken until {@link #close}.
 */
final class LoopbackNetwork implements AutoCloseable {
  private static final int ATTEMPTS = 100;
  private static final int LOWEST = 16;
  private static final int BEYOND_HIGHEST = 250;
  private static final int MARKER_HOST = 254;

  private final String prefix;
  private final ServerSocket marker;

  private LoopbackNetwork(String prefix, ServerSocket marker) {
    this.prefix = prefix;
    this.marker = marker;
  }

  /**
   * Takes a network.
   *
   * @throws IOException if none could be bound, for example where only 127.0.0.1 is configured
   */
  static LoopbackNetwork take() throws IOException {
    SplittableRandom random = new SplittableRandom(ProcessHandle.current().pid());
    IOException last = null;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      String prefix =
          "127."
              + random.nextInt(LOWEST, BEYOND_HIGHEST)
              + "."
              + random.nextInt(LOWEST, BEYOND_HIGHEST)
              + ".";
      try {
        InetAddress address = InetAddress.getByName(prefix + MARKER_HOST);
        return new LoopbackNetwork(prefix, new ServerSocket(Ports.CONTROL, 1, address));
      } catch (IOException taken) {
        last = taken;
      }
    }
    throw new IOException("no free loopback network", last);
  }

  /** The address of a host, 1 to 253. */
  String host(int number) {
    return prefix + number;
  }

  @Override
  public void close() throws IOException {
    marker.close();
  }
}
