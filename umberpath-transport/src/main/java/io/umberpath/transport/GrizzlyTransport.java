package io.umberpath.transport;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.InetAddresses;
import io.umberpath.control.ControlMessage;
import io.umberpath.model.PeerAddress;
import io.umberpath.transport.tls.ReloadingTlsContext;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Exchanges control messages over TCP with Grizzly. Uses two threads: Grizzly's selector thread,
 * which delivers messages, and a timer. {@link #send} encodes on the calling thread, also writes
 * there if the socket accepts the bytes immediately, and never blocks. A message that is not
 * delivered leads to {@link Listener#onUnreachable} or is counted in {@link #faultCounts}.
 */
public final class GrizzlyTransport implements Transport {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long SWEEP_INTERVAL_MILLIS = 200;
  private static final int MAX_CACHED_FRAME_BYTES = 256 << 10;
  private static final long TLS_RELOAD_INTERVAL_MILLIS = 1_000;

  private final TransportSettings settings;
  private final MessageCodec<ControlMessage> codec;
  private final TransportCounters counters = new TransportCounters();
  private final FaultReporter faultReporter = new FaultReporter(counters);
  private GrizzlyEndpoint endpoint;
  private Optional<ReloadingTlsContext> tls = Optional.empty();
  private ScheduledExecutorService timer;
  private PeerAddress address;
  private volatile ConnectionManager connectionManager;
  private volatile EncodedMessage lastEncoded;

  /** Creates a transport without binding it. */
  public GrizzlyTransport(TransportSettings settings, MessageCodec<ControlMessage> codec) {
    this.settings = settings;
    this.codec = codec;
  }

  /**
   * Binds the listening socket before {@link #start} so that the port is known; connections of
   * peers stay in the accept backlog until the start.
   *
   * @return the bound address, with the ephemeral port if the settings specify port 0
   * @throws IOException if the address cannot be bound, plain text is configured for an address
   *     other than loopback, or a certificate file cannot be loaded
   */
  public synchronized PeerAddress bind() throws IOException {
    if (address == null) {
      requireAllowedAddress(settings.listen());
      if (settings.security() instanceof TransportSecurity.MutualTls mutualTls) {
        tls = Optional.of(ReloadingTlsContext.load(mutualTls));
      }
      endpoint = new GrizzlyEndpoint(tls);
      address = endpoint.bind(settings.listen());
    }
    return address;
  }

  @Override
  public synchronized void start(Listener listener) throws IOException {
    PeerAddress self = bind();
    ConnectionManager manager =
        new ConnectionManager(
            settings,
            self,
            endpoint,
            new DecodingReceiver(listener),
            counters,
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    connectionManager = manager;
    endpoint.start(manager);
    timer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "umberpath-transport-timer");
              thread.setDaemon(true);
              return thread;
            });
    scheduleRepeatedly(manager::runMaintenance, SWEEP_INTERVAL_MILLIS);
    tls.ifPresent(
        context -> scheduleRepeatedly(() -> reloadTls(context), TLS_RELOAD_INTERVAL_MILLIS));
  }

  private void scheduleRepeatedly(Runnable task, long intervalMillis) {
    Runnable guarded =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("Transport timer task failed");
          }
        };
    timer.scheduleWithFixedDelay(guarded, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void reloadTls(ReloadingTlsContext context) {
    Either<String, Boolean> reloaded = context.reload();
    if (reloaded.isLeft()) {
      faultReporter.report(
          new TransportError(TransportFault.TLS_RELOAD_FAILED, reloaded.getLeft()), "self");
    } else if (reloaded.get()) {
      logger.atInfo().log("Certificate files reloaded; new connections use them");
    }
  }

  @Override
  public void send(PeerAddress to, ControlMessage message) {
    ConnectionManager manager = connectionManager;
    if (manager == null) {
      throw new IllegalStateException("transport is not started");
    }
    byte[] frame = encode(message);
    Optional<TransportError> refused = checkSendable(to, frame.length);
    if (refused.isPresent()) {
      faultReporter.report(refused.get(), to.toString());
    } else if (!manager.send(to, frame)) {
      faultReporter.report(
          new TransportError(TransportFault.SEND_QUEUE_FULL, "message dropped"), to.toString());
    }
  }

  /**
   * Encodes a message; reuses the last frame if the same message is sent to several peers in a row.
   */
  private byte[] encode(ControlMessage message) {
    EncodedMessage last = lastEncoded;
    if (last == null || last.message() != message) {
      last = new EncodedMessage(message, Frame.encode(FrameKind.MESSAGE, codec.encode(message)));
      lastEncoded = last.frame().length <= MAX_CACHED_FRAME_BYTES ? last : null;
    }
    return last.frame();
  }

  private record EncodedMessage(ControlMessage message, byte[] frame) {}

  private Optional<TransportError> checkSendable(PeerAddress to, int frameBytes) {
    if (frameBytes > settings.limits().maxFrameBytes()) {
      return refusedMessage("frame of " + frameBytes + " bytes exceeds the limit");
    }
    if (to.equals(address)) {
      return refusedMessage("destination is this node's own address");
    }
    try {
      requireAllowedAddress(to);
      return Optional.empty();
    } catch (IOException e) {
      return refusedMessage(e.getMessage());
    }
  }

  private static Optional<TransportError> refusedMessage(String detail) {
    return Optional.of(new TransportError(TransportFault.REFUSED_MESSAGE, detail));
  }

  private void requireAllowedAddress(PeerAddress peer) throws IOException {
    if (!InetAddresses.isInetAddress(peer.host())) {
      throw new IOException("host '" + peer.host() + "' is not an IP address");
    }
    boolean loopback = InetAddresses.forString(peer.host()).isLoopbackAddress();
    if (settings.security() instanceof TransportSecurity.PlainTextLoopback && !loopback) {
      throw new IOException("plain text is allowed on loopback only, not for " + peer);
    }
  }

  @Override
  public void disconnect(PeerAddress peer) {
    connectionManager.disconnect(peer);
  }

  @Override
  public Traffic traffic() {
    return counters.traffic();
  }

  /** Returns the number of faults since the start, by cause. */
  public Map<TransportFault, Long> faultCounts() {
    return counters.faults();
  }

  /** Returns the number of open connections and connection attempts, in both directions. */
  public int connectionCount() {
    ConnectionManager manager = connectionManager;
    return manager == null ? 0 : manager.connectionCount();
  }

  @Override
  public synchronized void close() {
    if (timer != null) {
      timer.shutdownNow();
    }
    if (connectionManager != null) {
      connectionManager.close();
    }
    if (endpoint != null) {
      endpoint.close();
    }
  }

  /** Decodes payloads and passes the messages to the listener. */
  private final class DecodingReceiver implements ConnectionManager.PayloadReceiver {
    private final Listener listener;

    DecodingReceiver(Listener listener) {
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
