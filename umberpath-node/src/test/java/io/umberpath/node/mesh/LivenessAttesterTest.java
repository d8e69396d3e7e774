package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.node.proxy.ProxyTransport;
import io.umberpath.node.proxy.loop.IterationListener;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.pool.ConnectionWaiter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A backend on a real socket whose entry has expired while the store does not answer. */
@Timeout(60)
final class LivenessAttesterTest {
  private static final String HEALTHY = "HTTP/1.1 200 OK\r\nInstance: first\r\n";
  private static final String FULL = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n";
  private static final String DRAINING = "HTTP/1.1 503 Draining\r\nInstance: first\r\n";
  private static final long PROBE_INTERVAL_MILLIS = 400;
  private static final long PROBE_VALID_MILLIS = 1_500;
  private static final int MAX_PROBES = 20;
  private static final int MAX_WAITS = 200;
  private static final long RESPONSE_MILLIS = 10;

  private final ProxyTransport transport =
      new ProxyTransport(8_192, ConnectionPool::returnToPool, 1, IterationListener.NONE);
  private final Queue<Socket> accepted = new ConcurrentLinkedQueue<>();
  private final AtomicInteger probes = new AtomicInteger();
  private volatile String response = HEALTHY;
  private volatile boolean resetsConnections;
  private volatile long nowMillis = 1_000_000;
  private ServerSocket server;
  private ConnectionPool pool;
  private LivenessAttester attester;
  private MeshView view;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::acceptAll, "backend");
    acceptor.setDaemon(true);
    acceptor.start();
    transport.start();
    pool =
        new ConnectionPool(
            new PeerAddress("127.0.0.1", server.getLocalPort()), transport, 8, () -> nowMillis);
    attester =
        new LivenessAttester(
            LocalBackendTest.SETTINGS,
            () -> view,
            () -> new StoreContact(false, 0),
            pool,
            new MeshEvents(() -> nowMillis),
            () -> nowMillis);
    view =
        LocalBackendTest.viewOf(
            Set.of(), LocalBackendTest.entry("first", BackendEntry.State.READY));
    attester.tick();
    view = LocalBackendTest.viewOf(Set.of());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    for (Socket each : accepted) {
      each.close();
    }
    transport.stop();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        if (resetsConnections) {
          reset(socket);
        } else {
          accepted.add(socket);
          if (server.isClosed()) {
            socket.close();
          }
          Thread connection = new Thread(() -> serve(socket), "backend-connection");
          connection.setDaemon(true);
          connection.start();
        }
      }
    } catch (IOException closed) {
      // The test closes the listener.
      return;
    }
  }

  private void reset(Socket socket) throws IOException {
    probes.incrementAndGet();
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private void serve(Socket socket) {
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.isEmpty() && resetsConnections) {
          reset(socket);
          return;
        }
        if (line.isEmpty()) {
          String head = response + "Content-Length: 0\r\n\r\n";
          socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
          probes.incrementAndGet();
        }
      }
    } catch (IOException closed) {
      // The test closes the connections.
      return;
    }
  }

  /** Probes until the condition holds, or often enough to show that it does not. */
  private boolean probeUntil(BooleanSupplier condition) throws InterruptedException {
    for (int count = 0; count < MAX_PROBES && !condition.getAsBoolean(); count++) {
      nowMillis += PROBE_INTERVAL_MILLIS;
      int before = probes.get();
      attester.tick();
      for (int wait = 0; wait < MAX_WAITS && !condition.getAsBoolean(); wait++) {
        // Once the backend has responded, the response needs a moment to be read.
        Thread.sleep(1);
        if (probes.get() > before) {
          Thread.sleep(RESPONSE_MILLIS);
          break;
        }
      }
    }
    return condition.getAsBoolean();
  }

  private boolean isAttested() {
    return attester.isAttested("first");
  }

  private void awaitProbe() throws InterruptedException {
    int before = probes.get();
    assertThat(probeUntil(() -> probes.get() > before)).isTrue();
  }

  @Test
  void backendThatRefusesAProbeBecauseItIsFullIsAttestedAgain() throws Exception {
    assertThat(probeUntil(this::isAttested)).isTrue();

    response = FULL;
    awaitProbe();
    nowMillis += PROBE_VALID_MILLIS;
    assertThat(isAttested()).isFalse();

    response = HEALTHY;
    assertThat(probeUntil(this::isAttested)).isTrue();
  }

  /** Its other connections stay open. */
  @Test
  void backendThatResetsAProbeBecauseItIsFullIsAttestedAgain() throws Exception {
    assertThat(probeUntil(this::isAttested)).isTrue();

    pool.acquire(
        new ConnectionWaiter() {
          @Override
          public void onConnected(OriginConnection connection) {
            // A request holds the connection.
          }

          @Override
          public void onUnavailable(Verdict.Reason reason) {
            throw new AssertionError(reason);
          }
        });
    resetsConnections = true;
    awaitProbe();
    nowMillis += PROBE_VALID_MILLIS;
    assertThat(isAttested()).isFalse();

    resetsConnections = false;
    assertThat(probeUntil(this::isAttested)).isTrue();
  }

  @Test
  void backendThatStatesThatItDrainsIsNotAttestedAgain() throws Exception {
    assertThat(probeUntil(this::isAttested)).isTrue();

    response = DRAINING;
    assertThat(probeUntil(() -> !attester.isEntryMissing())).isTrue();
    response = HEALTHY;

    assertThat(isAttested()).isFalse();
  }

  @Test
  void backendThatIsGoneIsNotAttestedAgain() throws Exception {
    assertThat(probeUntil(this::isAttested)).isTrue();

    server.close();
    for (Socket each : accepted) {
      each.close();
    }

    assertThat(probeUntil(() -> !attester.isEntryMissing())).isTrue();
  }

  /** The address went to another backend, whose refusal looked like one of a full backend. */
  @ParameterizedTest
  @ValueSource(strings = {"503 Full", "421 Misdirected"})
  void refusalOfAnotherInstanceEndsTheAttestation(String status) throws Exception {
    assertThat(probeUntil(this::isAttested)).isTrue();

    response = "HTTP/1.1 " + status + "\r\nInstance: second\r\nNot-Executed: 1\r\n";
    assertThat(probeUntil(() -> !isAttested())).isTrue();
    assertThat(attester.isEntryMissing()).isFalse();
  }
}
