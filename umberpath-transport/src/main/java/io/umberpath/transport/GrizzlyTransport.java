package io.umberpath.transport;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.InetAddresses;
import io.umberpath.control.ControlMessage;
import io.umberpath.model.PeerAddress;
import io.umberpath.transport.tls.ReloadingTls;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Control messages over TCP with Grizzly. Two threads: Grizzly's selector, which delivers messages,
 * and a timer. A sender encodes and, where the socket takes it at once, writes on its own thread;
 * it never waits. A message that is not delivered is followed by {@link Listener#onUnreachable} or
 * counted in {@link #faults}.
 */
public final class GrizzlyTransport implements Transport {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long SWEEP_MILLIS = 200;
  private static final int MAX_KEPT_BYTES = 256 << 10;
  private static final long RELOAD_MILLIS = 1_000;

  private final TransportSettings settings;
  private final MessageCodec<ControlMessage> codec;
  private final TransportCounters counters = new TransportCounters();
  private final FaultReporter faults = new FaultReporter(counters);
  private GrizzlyEndpoint endpoint;
  private Optional<ReloadingTls> tls = Optional.empty();
  private ScheduledExecutorService timer;
  private PeerAddress address;
  private volatile PeerConnections connections;
  private volatile Encoded lastEncoded;

  /** Creates a transport that listens on nothing yet. */
  public GrizzlyTransport(TransportSettings settings, MessageCodec<ControlMessage> codec) {
    this.settings = settings;
    this.codec = codec;
  }

  /**
   * Binds before {@link #start}, so that the port is known; peers wait until the start.
   *
   * @return the address, with the port that was picked if the settings name port 0
   * @throws IOException if the address cannot be bound, plain text is not on loopback, or a
   *     certificate file cannot be loaded
   */
  public synchronized PeerAddress bind() throws IOException {
    if (address == null) {
      requireAllowed(settings.listen());
      if (settings.security() instanceof TransportSecurity.MutualTls mutualTls) {
        tls = Optional.of(ReloadingTls.load(mutualTls));
      }
      endpoint = new GrizzlyEndpoint(tls);
      address = endpoint.bind(settings.listen());
    }
    return address;
  }

  @Override
  public synchronized void start(Listener listener) throws IOException {
    PeerAddress self = bind();
    PeerConnections owner =
        new PeerConnections(
            settings,
            self,
            endpoint,
            new Delivery(listener),
            counters,
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    connections = owner;
    endpoint.start(owner);
    timer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "umberpath-transport-timer");
              thread.setDaemon(true);
              return thread;
            });
    repeat(owner::sweep, SWEEP_MILLIS);
    tls.ifPresent(context -> repeat(() -> reload(context), RELOAD_MILLIS));
  }

  private void repeat(Runnable task, long intervalMillis) {
    Runnable guarded =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("A timer task of the transport failed");
          }
        };
    timer.scheduleWithFixedDelay(guarded, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void reload(ReloadingTls context) {
    Either<String, Boolean> reloaded = context.reload();
    if (reloaded.isLeft()) {
      faults.report(
          new TransportError(TransportFault.TLS_RELOAD_FAILED, reloaded.getLeft()), "self");
    } else if (reloaded.get()) {
      logger.atInfo().log("Changed certificate files are in use for new connections");
    }
  }

  @Override
  public void send(PeerAddress to, ControlMessage message) {
    PeerConnections owner = connections;
    if (owner == null) {
      throw new IllegalStateException("the transport is not started");
    }
    byte[] frame = encode(message);
    Optional<TransportError> refused = refusal(to, frame.length);
    if (refused.isPresent()) {
      faults.report(refused.get(), to.toString());
    } else if (!owner.send(to, frame)) {
      faults.report(
          new TransportError(TransportFault.SEND_QUEUE_FULL, "message dropped"), to.toString());
    }
  }

  /** Encodes a message once that is sent to several peers in a row. */
  private byte[] encode(ControlMessage message) {
    Encoded last = lastEncoded;
    if (last == null || last.message() != message) {
      last = new Encoded(message, Frame.encode(FrameKind.MESSAGE, codec.encode(message)));
      lastEncoded = last.frame().length <= MAX_KEPT_BYTES ? last : null;
    }
    return last.frame();
  }

  private record Encoded(ControlMessage message, byte[] frame) {}

  private Optional<TransportError> refusal(PeerAddress to, int frameBytes) {
    if (frameBytes > settings.limits().maxFrameBytes()) {
      return refused("frame of " + frameBytes + " bytes is over the limit");
    }
    if (to.equals(address)) {
      return refused("the address is this node's own");
    }
    try {
      requireAllowed(to);
      return Optional.empty();
    } catch (IOException e) {
      return refused(e.getMessage());
    }
  }

  private static Optional<TransportError> refused(String detail) {
    return Optional.of(new TransportError(TransportFault.REFUSED_MESSAGE, detail));
  }

  private void requireAllowed(PeerAddress peer) throws IOException {
    if (!InetAddresses.isInetAddress(peer.host())) {
      throw new IOException("host '" + peer.host() + "' is not an IP address");
    }
    boolean loopback = InetAddresses.forString(peer.host()).isLoopbackAddress();
    if (settings.security() instanceof TransportSecurity.PlainTextLoopback && !loopback) {
      throw new IOException("plain text is for loopback only, not for " + peer);
    }
  }

  @Override
  public void disconnect(PeerAddress peer) {
    connections.disconnect(peer);
  }

  @Override
  public Traffic traffic() {
    return counters.traffic();
  }

  /** Number of faults since the start, by cause. */
  public Map<TransportFault, Long> faults() {
    return counters.faults();
  }

  /** Open connections and attempts, in both directions. */
  public int connections() {
    PeerConnections owner = connections;
    return owner == null ? 0 : owner.count();
  }

  @Override
  public synchronized void close() {
    if (timer != null) {
      timer.shutdownNow();
    }
    if (connections != null) {
      connections.close();
    }
    if (endpoint != null) {
      endpoint.close();
    }
  }

  /** Decodes payloads for the listener. */
  private final class Delivery implements PeerConnections.Receiver {
    private final Listener listener;

    Delivery(Listener listener) {
      this.listener = listener;
    }

    @Override
    public Optional<TransportError> onPayload(PeerAddress from, byte[] payload) {
      Either<TransportError, ControlMessage> decoded = codec.decode(payload);
      if (decoded.isLeft()) {
        return Optional.of(decoded.getLeft());
      }
      listener.onMessage(from, decoded.get());
      return Optional.empty();
    }

    @Override
    public void onUnreachable(PeerAddress peer) {
      listener.onUnreachable(peer);
    }
  }
}
