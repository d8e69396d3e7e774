package io.umberpath.transport;

import static io.umberpath.transport.TestNode.await;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class GrizzlyTransportTest {
  @Test
  void deliversInOrderInBothDirections() throws IOException {
    try (TestNode a = TestNode.open();
        TestNode b = TestNode.open()) {
      IntStream.range(0, 50).forEach(number -> a.send(b, number));
      await("a to b", () -> b.recorder.numbersFrom(a.address).size() == 50);
      IntStream.range(0, 50).forEach(number -> b.send(a, number));
      await("b to a", () -> a.recorder.numbersFrom(b.address).size() == 50);
      assertThat(b.recorder.numbersFrom(a.address)).isSorted();
      assertThat(a.recorder.numbersFrom(b.address)).isSorted();
      assertThat(a.transport.traffic().sentMessages()).isEqualTo(50);
      assertThat(b.transport.traffic().receivedBytes())
          .isEqualTo(a.transport.traffic().sentBytes());
    }
  }

  @Test
  void crossingConnectionsLoseNothing() throws IOException {
    for (int round = 0; round < 20; round++) {
      try (TestNode a = TestNode.open();
          TestNode b = TestNode.open()) {
        Thread other = new Thread(() -> IntStream.range(0, 90).forEach(n -> b.send(a, n)));
        other.start();
        IntStream.range(0, 90).forEach(n -> a.send(b, n));
        await("all messages at b", () -> b.recorder.numbersFrom(a.address).size() == 90);
        await("all messages at a", () -> a.recorder.numbersFrom(b.address).size() == 90);
        await("one connection left at a", () -> a.transport.connectionCount() == 1);
        await("one connection left at b", () -> b.transport.connectionCount() == 1);
        assertThat(a.recorder.unreachable).isEmpty();
        assertThat(b.recorder.unreachable).isEmpty();
      }
    }
  }

  @Test
  void unreachablePeerIsReportedAndReachedOnceItListens() throws IOException {
    PeerAddress later;
    try (TestNode gone = TestNode.open()) {
      later = gone.address;
    }
    try (TestNode a = TestNode.open()) {
      a.transport.send(later, TestMessages.message(1));
      await("unreachable peer reported", () -> a.recorder.unreachable.contains(later));
      assertThat(a.faults(TransportFault.CONNECT_FAILED)).isPositive();
      try (TestNode b = TestNode.open(later, 2, TestNode.LIMITS, TestNode.TIMEOUTS)) {
        a.send(b, 2);
        await(
            "message after the peer started", () -> b.recorder.numbersFrom(a.address).contains(2));
      }
    }
  }

  @Test
  void restartedPeerIsReachedAgain() throws IOException {
    try (TestNode a = TestNode.open()) {
      TestNode first = TestNode.open();
      a.send(first, 1);
      await(
          "message to the first process", () -> first.recorder.numbersFrom(a.address).contains(1));
      first.close();
      await("unreachable peer reported", () -> a.recorder.unreachable.contains(first.address));
      try (TestNode second = TestNode.open(first.address, 2, TestNode.LIMITS, TestNode.TIMEOUTS)) {
        second.send(a, 7);
        a.send(second, 2);
        await(
            "message to the restarted process",
            () -> second.recorder.numbersFrom(a.address).contains(2));
        await(
            "message from the restarted process",
            () -> a.recorder.numbersFrom(second.address).contains(7));
      }
    }
  }

  @Test
  void disconnectFlushesQueueAndReportsNoPeerUnreachable() throws IOException {
    try (TestNode a = TestNode.open();
        TestNode b = TestNode.open()) {
      IntStream.range(0, 20).forEach(number -> a.send(b, number));
      a.transport.disconnect(b.address);
      await("delivered", () -> b.recorder.numbersFrom(a.address).size() == 20);
      await(
          "all connections closed",
          () -> a.transport.connectionCount() + b.transport.connectionCount() == 0);
      b.send(a, 3);
      await("dialled again", () -> a.recorder.numbersFrom(b.address).contains(3));
      assertThat(a.recorder.unreachable).isEmpty();
      assertThat(b.recorder.unreachable).isEmpty();
    }
  }

  @Test
  void unsendableMessagesAreRefusedAtTheSender() throws IOException {
    try (TestNode a = TestNode.open();
        TestNode b = TestNode.open()) {
      a.transport.send(b.address, TestMessages.message(1, "x".repeat(70_000)));
      a.transport.send(new PeerAddress("192.0.2.1", 4000), TestMessages.message(2));
      a.transport.send(a.address, TestMessages.message(3));
      assertThat(a.faults(TransportFault.REFUSED_MESSAGE)).isEqualTo(3);
      a.send(b, 4);
      await("valid message", () -> b.recorder.numbersFrom(a.address).contains(4));
    }
  }

  @Test
  void plainTextIsRefusedOffLoopback() {
    TransportSettings settings =
        TransportSettings.withDefaults(
            new PeerAddress("0.0.0.0", 0), 1, new TransportSecurity.PlainTextLoopback());
    try (GrizzlyTransport transport = new GrizzlyTransport(settings, TestMessages.codec())) {
      assertThatThrownBy(transport::bind)
          .isInstanceOf(IOException.class)
          .hasMessageContaining("loopback");
    }
  }
}
