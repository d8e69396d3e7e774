package io.umberpath.transport;

import io.umberpath.model.PeerAddress;

/**
 * Settings of one transport.
 *
 * @param listen address to listen on; port 0 picks a free one
 * @param incarnation of this process, told to peers
 * @param security protection of connections
 * @param limits sizes
 * @param timeouts times
 */
public record TransportSettings(
    PeerAddress listen,
    long incarnation,
    TransportSecurity security,
    Limits limits,
    Timeouts timeouts) {
  /** Settings with default limits and times. */
  public static TransportSettings withDefaults(
      PeerAddress listen, long incarnation, TransportSecurity security) {
    return new TransportSettings(listen, incarnation, security, Limits.DEFAULT, Timeouts.DEFAULT);
  }

  /**
   * Sizes.
   *
   * @param maxFrameBytes longest frame, header included
   * @param maxQueuedMessages messages that may wait for one peer
   * @param maxQueuedBytes framed bytes that may wait for one peer; at least one frame is taken
   * @param maxConnections connections in both directions together; more are refused
   */
  public record Limits(
      int maxFrameBytes, int maxQueuedMessages, long maxQueuedBytes, int maxConnections) {
    /** Defaults that fit a control heap of 64 MB. */
    public static final Limits DEFAULT = new Limits(8 << 20, 1024, 8 << 20, 256);
  }

  /**
   * Times in milliseconds.
   *
   * @param connectMillis longest time from the attempt to the peer's hello
   * @param silenceMillis a peer that sends nothing for so long is taken for gone; pings go out in a
   *     third of it
   * @param stallMillis a peer that takes nothing of a write for so long is taken for gone
   * @param minBackoffMillis wait after the first failed attempt; doubles with each
   * @param maxBackoffMillis longest wait between attempts
   */
  public record Timeouts(
      long connectMillis,
      long silenceMillis,
      long stallMillis,
      long minBackoffMillis,
      long maxBackoffMillis) {
    /** Defaults. */
    public static final Timeouts DEFAULT = new Timeouts(3_000, 15_000, 10_000, 100, 5_000);
  }
}
