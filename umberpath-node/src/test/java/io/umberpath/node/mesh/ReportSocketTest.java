package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ReportSocketTest {
  private static final int TIMEOUT_MILLIS = 20_000;

  /** No name service is asked for it. */
  private static final String UNRESOLVABLE = "[x";

  /** The exception also ended a graceful shutdown, and the process with it. */
  @Test
  void hostThatCannotBeReachedDoesNotKeepReportsFromOthers() throws Exception {
    byte[] report = {1, 2, 3};
    try (DatagramSocket other = new DatagramSocket(new InetSocketAddress("127.0.0.2", 0));
        ReportSocket socket =
            new ReportSocket(
                new PeerAddress("127.0.0.1", other.getLocalPort()),
                message -> {},
                new MeshEvents(() -> 0))) {
      other.setSoTimeout(TIMEOUT_MILLIS);
      socket.open();

      socket.send(List.of(report), List.of(UNRESOLVABLE, "127.0.0.2"));

      DatagramPacket received = new DatagramPacket(new byte[10], 10);
      other.receive(received);
      assertThat(received.getLength()).isEqualTo(report.length);
    }
  }
}
