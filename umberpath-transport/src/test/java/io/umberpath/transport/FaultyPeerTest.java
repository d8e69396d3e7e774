package io.umberpath.transport;

import static io.umberpath.transport.Endpoint.await;
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

/** What one faulty peer does is counted by cause, ends its connection and touches nothing else. */
@Timeout(120)
class FaultyPeerTest {
  private static final TransportSettings.Timeouts SHORT =
      new TransportSettings.Timeouts(300, 300, 300, 10, 100);

  /** What the raw peer does after the listed bytes. */
  private enum Then {
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
        row("HTTP request", "GET / HTTP/1.1\r\n\r\n".getBytes(), TransportFault.OVERSIZED_FRAME),
        row("zero bytes", new byte[64], TransportFault.MALFORMED_FRAME),
        row("negative length", RawPeer.header(-5, 1, 1), TransportFault.MALFORMED_FRAME),
        row("hello too long", RawPeer.header(5_000, 1, 1), TransportFault.OVERSIZED_FRAME),
        row("other version", RawPeer.header(20, 2, 1), TransportFault.WRONG_VERSION),
        row("unknown kind", RawPeer.header(20, 1, 99), TransportFault.MALFORMED_FRAME),
        row("message first", RawPeer.message(1), TransportFault.BAD_HELLO),
        row("hello not CBOR", notCbor, TransportFault.BAD_HELLO),
        row("hello names version 2", RawPeer.hello(RawPeer.NAME, 2), TransportFault.BAD_HELLO),
        row("hello names a host name", RawPeer.hello(hostName, 1), TransportFault.BAD_HELLO),
        row("hello names port 0", RawPeer.hello(badPort, 1), TransportFault.BAD_HELLO),
        row("no hello", new byte[0], TransportFault.CONNECT_TIMEOUT),
        row("half a hello", Arrays.copyOf(hello, 9), TransportFault.CONNECT_TIMEOUT),
        row("half a hello, closed", Arrays.copyOf(hello, 9), TransportFault.TRUNCATED_FRAME)
            .then(Then.CLOSE));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultsBeforeHello")
  void faultBeforeHello(String name, byte[] bytes, TransportFault fault, Then then)
      throws IOException {
    TransportSettings.Timeouts quickHello =
        new TransportSettings.Timeouts(300, 30_000, 30_000, 10, 100);
    provoke(bytes, fault, then, quickHello);
  }

  static Stream<Arguments> faultsAfterHello() {
    byte[] message = RawPeer.message(2);
    byte[] unknown = new MessageCodec<>(List.class).encode(List.of("unheard-of", List.of()));
    return Stream.of(
        row("garbage", new byte[] {77, 78, 79, 80, 81, 82}, TransportFault.OVERSIZED_FRAME),
        row("oversized", RawPeer.header(1 << 20, 1, 2), TransportFault.OVERSIZED_FRAME),
        row("other version", RawPeer.header(20, 9, 2), TransportFault.WRONG_VERSION),
        row("second hello", RawPeer.hello(), TransportFault.BAD_HELLO),
        row(
            "unknown type",
            Frame.encode(FrameKind.MESSAGE, unknown),
            TransportFault.UNKNOWN_MESSAGE_TYPE),
        row("empty message", Frame.encode(FrameKind.MESSAGE), TransportFault.MALFORMED_MESSAGE),
        row("truncated", Arrays.copyOf(message, 12), TransportFault.TRUNCATED_FRAME)
            .then(Then.CLOSE),
        row("reset inside a frame", Arrays.copyOf(message, 12), TransportFault.TRUNCATED_FRAME)
            .then(Then.RESET),
        row("reset between frames", message, TransportFault.CONNECTION_LOST).then(Then.RESET),
        row("closed without goodbye", message, TransportFault.CONNECTION_LOST).then(Then.CLOSE));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultsAfterHello")
  void faultAfterHello(String name, byte[] bytes, TransportFault fault, Then then)
      throws IOException {
    byte[] hello = RawPeer.hello();
    byte[] sound = RawPeer.message(1);
    byte[] all = Arrays.copyOf(hello, hello.length + sound.length + bytes.length);
    System.arraycopy(sound, 0, all, hello.length, sound.length);
    System.arraycopy(bytes, 0, all, hello.length + sound.length, bytes.length);
    Endpoint disturbed = provoke(all, fault, then, Endpoint.TIMEOUTS);
    assertThat(disturbed.recorder.numbersFrom(RawPeer.NAME)).startsWith(1);
    assertThat(disturbed.recorder.unreachable).containsOnlyOnce(RawPeer.NAME);
  }

  private Endpoint provoke(
      byte[] bytes, TransportFault fault, Then then, TransportSettings.Timeouts timeouts)
      throws IOException {
    try (Endpoint target = Endpoint.open(Endpoint.LIMITS, timeouts);
        Endpoint sound = Endpoint.open();
        RawPeer faulty = RawPeer.dial(target.address)) {
      sound.send(target, 1);
      await("before", () -> target.recorder.numbersFrom(sound.address).contains(1));
      faulty.write(bytes);
      if (then == Then.CLOSE) {
        faulty.shutdownOutput();
      } else if (then == Then.RESET) {
        await("read", () -> !target.recorder.numbersFrom(RawPeer.NAME).isEmpty());
        faulty.reset();
      }
      await(fault.label(), () -> target.faults(fault) == 1);
      if (then != Then.RESET) {
        faulty.awaitClosed();
      }
      await("one connection is left", () -> target.transport.connections() == 1);
      sound.send(target, 2);
      target.send(sound, 3);
      await("after", () -> target.recorder.numbersFrom(sound.address).contains(2));
      await("answer", () -> sound.recorder.numbersFrom(target.address).contains(3));
      assertThat(target.transport.faults().values().stream().mapToLong(n -> n).sum()).isEqualTo(1);
      assertThat(target.recorder.unreachable).doesNotContain(sound.address);
      return target;
    }
  }

  @Test
  void silentPeerIsTakenForGone() throws IOException {
    try (Endpoint target = Endpoint.open(Endpoint.LIMITS, SHORT);
        RawPeer halfOpen = RawPeer.dial(target.address)) {
      halfOpen.write(RawPeer.hello()).write(RawPeer.message(1));
      await("told", () -> target.recorder.unreachable.contains(RawPeer.NAME));
      halfOpen.awaitClosed();
      assertThat(target.faults(TransportFault.SILENT_PEER)).isEqualTo(1);
      assertThat(target.recorder.numbersFrom(RawPeer.NAME)).containsExactly(1);
    }
  }

  @Test
  void quietButLivingPeersStayConnected() throws IOException {
    TransportSettings.Timeouts twoSeconds =
        new TransportSettings.Timeouts(2_000, 2_000, 2_000, 10, 100);
    try (Endpoint a = Endpoint.open(Endpoint.LIMITS, twoSeconds);
        Endpoint b = Endpoint.open(Endpoint.LIMITS, twoSeconds)) {
      a.send(b, 1);
      await("sent", () -> b.recorder.numbersFrom(a.address).contains(1));
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
    TransportSettings.Timeouts stall = new TransportSettings.Timeouts(2_000, 30_000, 500, 10, 100);
    try (Endpoint target = Endpoint.open(Endpoint.LIMITS, stall);
        Endpoint sound = Endpoint.open();
        RawPeer slow = RawPeer.dial(target.address)) {
      slow.write(RawPeer.hello()).write(RawPeer.message(1));
      await("known", () -> !target.recorder.numbersFrom(RawPeer.NAME).isEmpty());
      while (target.faults(TransportFault.SEND_QUEUE_FULL) == 0) {
        target.transport.send(RawPeer.NAME, TestMessages.message(2, "x".repeat(60_000)));
      }
      target.send(sound, 3);
      await("sound peer", () -> sound.recorder.numbersFrom(target.address).contains(3));
      await("told", () -> target.recorder.unreachable.contains(RawPeer.NAME));
      assertThat(target.faults(TransportFault.STALLED_PEER)).isEqualTo(1);
    }
  }

  @Test
  void dialledListenerThatSaysNothingIsGivenUp() throws IOException {
    try (ServerSocket mute = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        Endpoint target = Endpoint.open(Endpoint.LIMITS, SHORT)) {
      PeerAddress address = new PeerAddress("127.0.0.1", mute.getLocalPort());
      target.transport.send(address, TestMessages.message(1));
      await("told", () -> target.recorder.unreachable.contains(address));
      assertThat(target.faults(TransportFault.CONNECT_TIMEOUT)).isEqualTo(1);
    }
  }

  @Test
  void dialledListenerThatNamesAnotherAddressIsRefused() throws IOException {
    try (ServerSocket liar = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        Endpoint target = Endpoint.open()) {
      PeerAddress address = new PeerAddress("127.0.0.1", liar.getLocalPort());
      target.transport.send(address, TestMessages.message(1));
      try (RawPeer peer = new RawPeer(liar.accept())) {
        peer.write(RawPeer.hello());
        peer.awaitClosed();
      }
      await("told", () -> target.recorder.unreachable.contains(address));
      assertThat(target.faults(TransportFault.BAD_HELLO)).isEqualTo(1);
    }
  }

  @Test
  void connectionsOverTheLimitAreRefused() throws IOException {
    TransportSettings.Limits one = new TransportSettings.Limits(64 << 10, 100, 1 << 20, 1);
    try (Endpoint target = Endpoint.open(one, Endpoint.TIMEOUTS);
        Endpoint first = Endpoint.open()) {
      first.send(target, 1);
      await("first", () -> target.recorder.numbersFrom(first.address).contains(1));
      try (RawPeer second = RawPeer.dial(target.address)) {
        second.awaitClosed();
      }
      assertThat(target.faults(TransportFault.TOO_MANY_CONNECTIONS)).isEqualTo(1);
      first.send(target, 2);
      await("still there", () -> target.recorder.numbersFrom(first.address).contains(2));
    }
  }

  private static Row row(String name, byte[] bytes, TransportFault fault) {
    return new Row(name, bytes, fault, Then.WAIT);
  }

  /** One line of a fault table. */
  private record Row(String name, byte[] bytes, TransportFault fault, Then then)
      implements Arguments {
    Row then(Then next) {
      return new Row(name, bytes, fault, next);
    }

    @Override
    public Object[] get() {
      return new Object[] {name, bytes, fault, then};
    }
  }
}
