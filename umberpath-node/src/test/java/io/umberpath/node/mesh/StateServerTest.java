package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StateServerTest {
  private static final int ANSWER_TIMEOUT_MILLIS = 5_000;
  private static final int ZONE_NODES = 24;

  /** More than fits into the buffers of a connection. */
  private static final int LARGE_BYTES = 64 << 20;

  private static final byte[] SMALL = {1, 2, 3};
  private static final TransferRequest REQUEST =
      new TransferRequest(
          new StateRequest(new StorePosition(StorePosition.NO_ERA, 7), -1), 3, false);

  /** Does not advance by itself, so that no connection times out. */
  private final AtomicLong nowMillis = new AtomicLong();

  private final List<Socket> clients = new ArrayList<>();

  @AfterEach
  void closeClients() throws IOException {
    for (Socket client : clients) {
      client.close();
    }
  }

  private StateServer open(Function<TransferRequest, byte[]> transferFor) throws IOException {
    return StateServer.open(
        new PeerAddress("127.0.0.1", 0),
        transferFor,
        new MeshEvents(nowMillis::get),
        nowMillis::get);
  }

  private Socket connect(StateServer server) throws IOException {
    Socket client = new Socket();
    clients.add(client);
    client.setReceiveBufferSize(4_096);
    client.connect(new InetSocketAddress("127.0.0.1", server.port()), ANSWER_TIMEOUT_MILLIS);
    client.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
    return client;
  }

  private Socket request(StateServer server) throws IOException {
    Socket client = connect(server);
    StateChangesCodec.write(REQUEST, client.getOutputStream());
    return client;
  }

  private static boolean isOpen(Socket client) throws IOException {
    client.setSoTimeout(1);
    try {
      return client.getInputStream().read() >= 0;
    } catch (SocketTimeoutException nothingToRead) {
      return true;
    }
  }

  @Test
  void clientsThatSendNoRequestDelayNoOther() throws Exception {
    try (StateServer server = open(request -> SMALL)) {
      List<Socket> silent = new ArrayList<>();
      for (int count = 0; count < ZONE_NODES; count++) {
        silent.add(connect(server));
      }

      assertThat(request(server).getInputStream().readAllBytes()).isEqualTo(SMALL);
      for (Socket client : silent) {
        assertThat(isOpen(client)).isTrue();
      }
    }
  }

  @Test
  void clientThatDoesNotReadItsResponseDelaysNoOther() throws Exception {
    byte[] large = new byte[LARGE_BYTES];
    AtomicBoolean isFirst = new AtomicBoolean(true);
    try (StateServer server = open(request -> isFirst.getAndSet(false) ? large : SMALL)) {
      assertThat(request(server).getInputStream().read()).isZero();

      assertThat(request(server).getInputStream().readAllBytes()).isEqualTo(SMALL);
    }
  }

  @Test
  void responseIsWholeForClientThatReadsLate() throws Exception {
    byte[] large = new byte[LARGE_BYTES];
    Arrays.fill(large, (byte) 5);
    try (StateServer server = open(request -> large)) {
      Socket late = request(server);
      assertThat(request(server).getInputStream().readNBytes(10)).hasSize(10);

      assertThat(late.getInputStream().readAllBytes()).isEqualTo(large);
    }
  }

  /** A worker and a queue of 64 were busy; what came then was neither answered nor closed. */
  @Test
  void manyRequestsAtOnceAreAllAnswered() throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    try (StateServer server = open(request -> smallAfter(released))) {
      List<Socket> waiting = new ArrayList<>();
      for (int count = 0; count < 140; count++) {
        waiting.add(request(server));
      }
      released.countDown();

      for (Socket client : waiting) {
        assertThat(client.getInputStream().readAllBytes()).isEqualTo(SMALL);
      }
    }
  }

  private static byte[] smallAfter(CountDownLatch released) {
    try {
      released.await();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
    return SMALL;
  }

  @Test
  void exceptionInOneRequestEndsNoOther() throws Exception {
    AtomicBoolean isFirst = new AtomicBoolean(true);
    try (StateServer server =
        open(
            request -> {
              if (isFirst.getAndSet(false)) {
                throw new IllegalStateException("on purpose");
              }
              return SMALL;
            })) {
      assertThat(request(server).getInputStream().read()).isEqualTo(-1);

      assertThat(request(server).getInputStream().readAllBytes()).isEqualTo(SMALL);
    }
  }
}
