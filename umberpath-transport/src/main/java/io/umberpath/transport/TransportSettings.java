package io.umberpath.transport;

import io.umberpath.model.PeerAddress;

/**
 * Configuration of a transport.
 *
 * @param listen address to listen on; port 0 picks an ephemeral port
 * @param incarnation number that identifies this process among successive processes at one address;
 *     sent to peers
 * @param security how connections are secured
 * @param limits size and connection limits
 * @param timeouts timeouts and reconnect backoff
 */
public record TransportSettings(
    PeerAddress listen,
    long incarnation,
    TransportSecurity security,
    Limits limits,
    Timeouts timeouts) {
  /** Creates settings with the default limits and timeouts. */
  public static TransportSettings withDefaults(
      PeerAddress listen, long incarnation, TransportSecurity security) {
    return new TransportSettings(listen, incarnation, security, Limits.DEFAULT, Timeouts.DEFAULT);
  }

  /**
   * Size and connection limits.
   *
   * @param maxFrameBytes maximum frame size, including the header
   * @param maxQueuedMessages maximum number of messages queued per peer
   * @param maxQueuedBytes maximum number of framed bytes queued per peer; an empty queue accepts a
   *     frame of any size
   * @param maxConnections maximum number of inbound and outbound connections; further inbound
   *     connections are refused
   */
  public record Limits(
      int maxFrameBytes, int maxQueuedMessages, long maxQueuedBytes, int maxConnections) {
    /** Default limits, sized for a control heap of 64 MB. */
    public static final Limits DEFAULT = new Limits(8 << 20, 1024, 8 << 20, 256);
  }

  /**
   * Timeouts and reconnect backoff in milliseconds.
   *
   * @param connectMillis maximum time from the connection attempt to the peer's hello
   * @param silenceMillis a connection is closed if nothing is received for this long; pings are
   *     sent after a third of it without writes
   * @param stallMillis a connection is closed if a write makes no progress for this long
   * @param minBackoffMillis delay after the first failed attempt; doubles with each further failure
   * @param maxBackoffMillis maximum delay between attempts
   */
  public record Timeouts(
      long connectMillis,
      long silenceMillis,
      long stallMillis,
      long minBackoffMillis,
      long maxBackoffMillis) {
    /** Default timeouts and backoff. */
    public static final Timeouts DEFAULT = new Timeouts(3_000, 15_000, 10_000, 100, 5_000);
  }
}
