package io.umberpath.transport;

import static io.umberpath.transport.TestNode.await;
import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that a fault of one peer is counted by cause, closes its connection and affects no other
 * connection.
 */
@Timeout(120)
class FaultyPeerTest {
  private static final TransportSettings.Timeouts SHORT_TIMEOUTS =
      new TransportSettings.Timeouts(300, 300, 300, 10, 100);

  /** What the raw peer does after it has written the bytes of the case. */
  private enum EndAction {
    WAIT,
    CLOSE,
    RESET
  }

  static Stream<Arguments> faultsBeforeHello() {
    byte[] hello = RawPeer.hello();
    byte[] notCbor = Frame.encode(FrameKind.HELLO, new byte[] {-1, -1});
    PeerAddress hostName = new PeerAddress("localhost", 1);
    PeerAddress badPort = new PeerAddress("127.0.0.1", 0);
    return Stream.of(
        faultCase(
            "HTTP request", "GET / HTTP/1.1\r\n\r\n".getBytes(), TransportFault.OVERSIZED_FRAME),
        faultCase("zero bytes", new byte[64], TransportFault.MALFORMED_FRAME),
        faultCase("negative length", RawPeer.header(-5, 1, 1), TransportFault.MALFORMED_FRAME),
        faultCase("hello too long", RawPeer.header(5_000, 1, 1), TransportFault.OVERSIZED_FRAME),
        faultCase("other version", RawPeer.header(20, 2, 1), TransportFault.WRONG_VERSION),
        faultCase("unknown kind", RawPeer.header(20, 1, 99), TransportFault.MALFORMED_FRAME),
        faultCase("message first", RawPeer.message(1), TransportFault.BAD_HELLO),
        faultCase("hello not CBOR", notCbor, TransportFault.BAD_HELLO),
        faultCase(
            "hello names version 2", RawPeer.hello(RawPeer.ADDRESS, 2), TransportFault.BAD_HELLO),
        faultCase("hello names a host name", RawPeer.hello(hostName, 1), TransportFault.BAD_HELLO),
        faultCase("hello names port 0", RawPeer.hello(badPort, 1), TransportFault.BAD_HELLO),
        faultCase("no hello", new byte[0], TransportFault.CONNECT_TIMEOUT),
        faultCase("half a hello", Arrays.copyOf(hello, 9), TransportFault.CONNECT_TIMEOUT),
        faultCase("half a hello, closed", Arrays.copyOf(hello, 9), TransportFault.TRUNCATED_FRAME)
            .withEndAction(EndAction.CLOSE));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultsBeforeHello")
  void faultBeforeHello(String name, byte[] bytes, TransportFault fault, EndAction endAction)
      throws IOException {
    TransportSettings.Timeouts shortConnectTimeout =
        new TransportSettings.Timeouts(300, 30_000, 30_000, 10, 100);
    assertFaultIsolated(bytes, fault, endAction, shortConnectTimeout);
  }

  static Stream<Arguments> faultsAfterHello() {
    byte[] message = RawPeer.message(2);
    byte[] unknown = new MessageCodec<>(List.class).encode(List.of("unheard-of", List.of()));
    return Stream.of(
        faultCase("garbage", new byte[] {77, 78, 79, 80, 81, 82}, TransportFault.OVERSIZED_FRAME),
        faultCase("oversized", RawPeer.header(1 << 20, 1, 2), TransportFault.OVERSIZED_FRAME),
        faultCase("other version", RawPeer.header(20, 9, 2), TransportFault.WRONG_VERSION),
        faultCase("second hello", RawPeer.hello(), TransportFault.BAD_HELLO),
        faultCase(
            "unknown type",
            Frame.encode(FrameKind.MESSAGE, unknown),
            TransportFault.UNKNOWN_MESSAGE_TYPE),
        faultCase(
            "empty message", Frame.encode(FrameKind.MESSAGE), TransportFault.MALFORMED_MESSAGE),
        faultCase("truncated", Arrays.copyOf(message, 12), TransportFault.TRUNCATED_FRAME)
            .withEndAction(EndAction.CLOSE),
        faultCase(
                "reset inside a frame", Arrays.copyOf(message, 12), TransportFault.TRUNCATED_FRAME)
            .withEndAction(EndAction.RESET),
        faultCase("reset between frames", message, TransportFault.CONNECTION_LOST)
            .withEndAction(EndAction.RESET),
        faultCase("closed without goodbye", message, TransportFault.CONNECTION_LOST)
            .withEndAction(EndAction.CLOSE));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultsAfterHello")
  void faultAfterHello(String name, byte[] bytes, TransportFault fault, EndAction endAction)
      throws IOException {
    byte[] hello = RawPeer.hello();
    byte[] validMessage = RawPeer.message(1);
    byte[] allBytes = Arrays.copyOf(hello, hello.length + validMessage.length + bytes.length);
    System.arraycopy(validMessage, 0, allBytes, hello.length, validMessage.length);
    System.arraycopy(bytes, 0, allBytes, hello.length + validMessage.length, bytes.length);
    TestNode target = assertFaultIsolated(allBytes, fault, endAction, TestNode.TIMEOUTS);
    assertThat(target.recorder.numbersFrom(RawPeer.ADDRESS)).startsWith(1);
    assertThat(target.recorder.unreachable).containsOnlyOnce(RawPeer.ADDRESS);
  }

  private TestNode assertFaultIsolated(
      byte[] bytes, TransportFault fault, EndAction endAction, TransportSettings.Timeouts timeouts)
      throws IOException {
    try (TestNode target = TestNode.open(TestNode.LIMITS, timeouts);
        TestNode healthy = TestNode.open();
        RawPeer faulty = RawPeer.dial(target.address)) {
      healthy.send(target, 1);
      await(
          "message before the fault",
          () -> target.recorder.numbersFrom(healthy.address).contains(1));
      faulty.write(bytes);
      if (endAction == EndAction.CLOSE) {
        faulty.shutdownOutput();
      } else if (endAction == EndAction.RESET) {
        await(
            "message of the faulty peer",
            () -> !target.recorder.numbersFrom(RawPeer.ADDRESS).isEmpty());
        faulty.reset();
      }
      await(fault.label(), () -> target.faults(fault) == 1);
      if (endAction != EndAction.RESET) {
        faulty.awaitClosed();
      }
      await("one connection is left", () -> target.transport.connectionCount() == 1);
      healthy.send(target, 2);
      target.send(healthy, 3);
      await(
          "message after the fault",
          () -> target.recorder.numbersFrom(healthy.address).contains(2));
      await(
          "message to the healthy peer",
          () -> healthy.recorder.numbersFrom(target.address).contains(3));
      assertThat(target.transport.faultCounts().values().stream().mapToLong(n -> n).sum())
          .isEqualTo(1);
      assertThat(target.recorder.unreachable).doesNotContain(healthy.address);
      return target;
    }
  }

  @Test
  void silentPeerIsReportedUnreachable() throws IOException {
    try (TestNode target = TestNode.open(TestNode.LIMITS, SHORT_TIMEOUTS);
        RawPeer halfOpen = RawPeer.dial(target.address)) {
      halfOpen.write(RawPeer.hello()).write(RawPeer.message(1));
      await(
          "unreachable peer reported", () -> target.recorder.unreachable.contains(RawPeer.ADDRESS));
      halfOpen.awaitClosed();
      assertThat(target.faults(TransportFault.SILENT_PEER)).isEqualTo(1);
      assertThat(target.recorder.numbersFrom(RawPeer.ADDRESS)).containsExactly(1);
    }
  }

  @Test
  void idlePeersStayConnectedByPings() throws IOException {
    TransportSettings.Timeouts twoSeconds =
        new TransportSettings.Timeouts(2_000, 2_000, 2_000, 10, 100);
    try (TestNode a = TestNode.open(TestNode.LIMITS, twoSeconds);
        TestNode b = TestNode.open(TestNode.LIMITS, twoSeconds)) {
      a.send(b, 1);
      await("message delivered", () -> b.recorder.numbersFrom(a.address).contains(1));
      long hello = b.transport.traffic().receivedBytes();
      int pings = 4;
      await(
          "pings for longer than the silence timeout",
          () -> b.transport.traffic().receivedBytes() >= hello + pings * Frame.HEADER_BYTES);
      assertThat(a.recorder.unreachable).isEmpty();
      assertThat(b.recorder.unreachable).isEmpty();
    }
  }

  @Test
  void slowReaderFillsOnlyItsOwnQueue() throws IOException {
    TransportSettings.Timeouts shortStallTimeout =
        new TransportSettings.Timeouts(2_000, 30_000, 500, 10, 100);
    try (TestNode target = TestNode.open(TestNode.LIMITS, shortStallTimeout);
        TestNode healthy = TestNode.open();
        RawPeer slow = RawPeer.dial(target.address)) {
      slow.write(RawPeer.hello()).write(RawPeer.message(1));
      await(
          "connection with the slow reader",
          () -> !target.recorder.numbersFrom(RawPeer.ADDRESS).isEmpty());
      while (target.faults(TransportFault.SEND_QUEUE_FULL) == 0) {
        target.transport.send(RawPeer.ADDRESS, TestMessages.message(2, "x".repeat(60_000)));
      }
      target.send(healthy, 3);
      await(
          "message to the healthy peer",
          () -> healthy.recorder.numbersFrom(target.address).contains(3));
      await(
          "unreachable peer reported", () -> target.recorder.unreachable.contains(RawPeer.ADDRESS));
      assertThat(target.faults(TransportFault.STALLED_PEER)).isEqualTo(1);
    }
  }

  @Test
  void connectAttemptWithoutHelloTimesOut() throws IOException {
    try (ServerSocket silentServer = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        TestNode target = TestNode.open(TestNode.LIMITS, SHORT_TIMEOUTS)) {
      PeerAddress address = new PeerAddress("127.0.0.1", silentServer.getLocalPort());
      target.transport.send(address, TestMessages.message(1));
      await("unreachable peer reported", () -> target.recorder.unreachable.contains(address));
      assertThat(target.faults(TransportFault.CONNECT_TIMEOUT)).isEqualTo(1);
    }
  }

  @Test
  void helloWithOtherThanDialledAddressIsRefused() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        TestNode target = TestNode.open()) {
      PeerAddress address = new PeerAddress("127.0.0.1", server.getLocalPort());
      target.transport.send(address, TestMessages.message(1));
      try (RawPeer peer = new RawPeer(server.accept())) {
        peer.write(RawPeer.hello());
        peer.awaitClosed();
      }
      await("unreachable peer reported", () -> target.recorder.unreachable.contains(address));
      assertThat(target.faults(TransportFault.BAD_HELLO)).isEqualTo(1);
    }
  }

  @Test
  void connectionsOverTheLimitAreRefused() throws IOException {
    TransportSettings.Limits singleConnection =
        new TransportSettings.Limits(64 << 10, 100, 1 << 20, 1);
    try (TestNode target = TestNode.open(singleConnection, TestNode.TIMEOUTS);
        TestNode first = TestNode.open()) {
      first.send(target, 1);
      await(
          "message on the first connection",
          () -> target.recorder.numbersFrom(first.address).contains(1));
      try (RawPeer second = RawPeer.dial(target.address)) {
        second.awaitClosed();
      }
      assertThat(target.faults(TransportFault.TOO_MANY_CONNECTIONS)).isEqualTo(1);
      first.send(target, 2);
      await(
          "second message on the first connection",
          () -> target.recorder.numbersFrom(first.address).contains(2));
    }
  }

  private static FaultCase faultCase(String name, byte[] bytes, TransportFault fault) {
    return new FaultCase(name, bytes, fault, EndAction.WAIT);
  }

  /** Arguments of one test case. */
  private record FaultCase(String name, byte[] bytes, TransportFault fault, EndAction endAction)
      implements Arguments {
    FaultCase withEndAction(EndAction nextAction) {
      return new FaultCase(name, bytes, fault, nextAction);
    }

    @Override
    public Object[] get() {
      return new Object[] {name, bytes, fault, endAction};
    }
  }
}
