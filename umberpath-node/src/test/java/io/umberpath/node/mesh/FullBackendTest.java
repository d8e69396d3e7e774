package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.node.proxy.ProxyTransport;
import io.umberpath.node.proxy.loop.IterationListener;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.pool.ConnectionWaiter;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Backends on real sockets that reset the connections beyond their limit. */
@Timeout(60)
final class FullBackendTest {
  private static final int MAX_HEADER_BYTES = 8_192;
  private static final long TIMEOUT_MILLIS = 10_000;

  /** Longer than the connections of an exiting process take to close. */
  private static final long DECISION_MILLIS = 100;

  private static final int QUARANTINE_THRESHOLD = 3;

  /** All requests of a route without parameters and bodies. */
  private static final RequestFingerprint WHOLE_ROUTE = new RequestFingerprint(1, 1);

  private final ProxyTransport transport =
      new ProxyTransport(MAX_HEADER_BYTES, ConnectionPool::returnToPool, 1, IterationListener.NONE);
  private volatile long nowMillis = 1_000_000;

  /** Accepts connections up to a limit and resets all others. */
  private final class Backend implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    private final Queue<Socket> accepted = new ConcurrentLinkedQueue<>();
    private final ConnectionPool pool =
        new ConnectionPool(
            new PeerAddress("127.0.0.1", server.getLocalPort()), transport, 8, () -> nowMillis);
    private final BackendCrashDetector detector = new BackendCrashDetector(pool, () -> nowMillis);
    private final int maxConnections;

    Backend(int maxConnections) throws IOException {
      this.maxConnections = maxConnections;
      Thread acceptor = new Thread(this::acceptAll, "full-backend");
      acceptor.setDaemon(true);
      acceptor.start();
    }

    private void acceptAll() {
      try {
        while (true) {
          Socket socket = server.accept();
          if (accepted.size() < maxConnections) {
            accepted.add(socket);
          } else {
            reset(socket);
          }
        }
      } catch (IOException closed) {
        // The test closes the listener.
        return;
      }
    }

    private static void reset(Socket socket) throws IOException {
      if (!socket.isClosed()) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }

    OriginConnection connect() throws Exception {
      CompletableFuture<OriginConnection> connected = new CompletableFuture<>();
      pool.acquireNew(
          new ConnectionWaiter() {
            @Override
            public void onConnected(OriginConnection connection) {
              connected.complete(connection);
            }

            @Override
            public void onUnavailable(Verdict.Reason reason) {
              connected.completeExceptionally(new IOException(reason.toString()));
            }
          });
      return connected.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the decision; no earlier request is still running when it is made. */
    Optional<BackendCrashDetector.Crash> awaitDecision() throws InterruptedException {
      nowMillis += DECISION_MILLIS;
      Optional<BackendCrashDetector.Crash> crash = pollCrash();
      while (detector.isCrashSuspected()) {
        Thread.sleep(1);
        crash = pollCrash();
      }
      return crash;
    }

    private Optional<BackendCrashDetector.Crash> pollCrash() {
      return detector.pollCrash((backend, atMillis) -> false);
    }

    void crash() throws IOException {
      server.close();
      for (Socket each : accepted) {
        reset(each);
      }
    }

    @Override
    public void close() throws IOException {
      crash();
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(1);
    }
  }

  @BeforeEach
  void start() throws IOException {
    transport.start();
  }

  @AfterEach
  void stop() throws IOException {
    transport.stop();
  }

  /**
   * The probe connection is reset like that of the request, while an idle connection stays open.
   */
  @Test
  void backendThatResetsConnectionsWhenFullIsNotTakenForCrashed() throws Exception {
    try (Backend backend = new Backend(1)) {
      backend.pool.release(backend.connect());

      backend.detector.connectionLost("i-1", WHOLE_ROUTE);

      assertThat(backend.awaitDecision()).isEmpty();
    }
  }

  /** Each of three backends resets one connection; all requests of the route are equal. */
  @Test
  void wholeRouteIsNotQuarantinedBecauseThreeBackendsWereFull() throws Exception {
    RequestQuarantine quarantine =
        new RequestQuarantine(
            new SuspectRegistry(QUARANTINE_THRESHOLD),
            (request, count) -> true,
            new MeshEvents(() -> nowMillis),
            () -> nowMillis);
    for (int index = 0; index < QUARANTINE_THRESHOLD; index++) {
      BackendStart start = new BackendStart("i-" + index, 0);
      try (Backend backend = new Backend(1)) {
        backend.pool.release(backend.connect());
        backend.detector.connectionLost("i-1", WHOLE_ROUTE);
        backend
            .awaitDecision()
            .ifPresent(crash -> quarantine.recordBackendCrash(start, crash.requests()));
      }
    }

    assertThat(quarantine.blocksOutbound(WHOLE_ROUTE)).isFalse();
  }

  @Test
  void backendWhoseConnectionsAllEndIsTakenForCrashed() throws Exception {
    try (Backend backend = new Backend(2)) {
      OriginConnection idle = backend.connect();
      OriginConnection running = backend.connect();
      backend.pool.release(idle);
      await(() -> backend.accepted.size() == 2);

      backend.crash();
      await(() -> !running.isOpen());
      backend.detector.connectionLost("i-1", WHOLE_ROUTE);
      await(() -> !idle.isOpen());

      assertThat(backend.awaitDecision())
          .hasValueSatisfying(crash -> assertThat(crash.requests()).containsExactly(WHOLE_ROUTE));
    }
  }
}
