package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Sends and receives the datagrams between nodes. Thread-safe. */
final class ReportSocket implements AutoCloseable {
  /** Handles received messages. */
  interface Receiver {
    /**
     * Handles a message.
     *
     * @throws IOException if its content is malformed
     */
    void handle(PeerDatagram message) throws IOException;
  }

  /** One byte more than allowed, so that a datagram that is too long is noticed. */
  private static final int BUFFER_BYTES = PeerDatagram.MAX_BYTES + 1;

  private final PeerAddress listenAddress;
  private final Receiver receiver;
  private final MeshEvents events;

  /** Resolved socket addresses by host. */
  private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

  private final SupervisedThread thread;

  /** Confined to the thread. */
  private final DatagramPacket packet = new DatagramPacket(new byte[BUFFER_BYTES], BUFFER_BYTES);

  private volatile DatagramSocket socket;

  /**
   * Creates a socket without opening it.
   *
   * @param listenAddress where to listen; other nodes listen on the same port
   */
  ReportSocket(PeerAddress listenAddress, Receiver receiver, MeshEvents events) {
    this.listenAddress = listenAddress;
    this.receiver = receiver;
    this.events = events;
    this.thread = new SupervisedThread(MeshTask.REPORTS, this::receive, events);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address cannot be bound
   */
  void open() throws IOException {
    socket = new DatagramSocket(new InetSocketAddress(listenAddress.host(), listenAddress.port()));
    thread.start();
  }

  /** Sends reports to each host. */
  void send(PeerMessage.Kind kind, List<PeerMessage.Entry> entries, Collection<String> hosts) {
    if (!hosts.isEmpty()) {
      send(PeerMessage.encode(kind, entries), hosts);
    }
  }

  /** Sends each datagram to each host. */
  void send(List<byte[]> datagrams, Collection<String> hosts) {
    for (byte[] bytes : datagrams) {
      send(bytes, hosts);
    }
  }

  private void send(byte[] bytes, Collection<String> hosts) {
    for (String host : hosts) {
      try {
        socket.send(new DatagramPacket(bytes, bytes.length, addressOf(host)));
      } catch (IOException | IllegalArgumentException unreachable) {
        // The next report makes up for it; a node that receives none treats this one as silent.
        events.reportUnsent(host, unreachable);
      }
    }
  }

  private InetSocketAddress addressOf(String host) {
    InetSocketAddress cached = addresses.get(host);
    return cached != null
        ? cached
        : addresses.computeIfAbsent(
            host, absent -> new InetSocketAddress(absent, listenAddress.port()));
  }

  private void receive() throws IOException {
    packet.setLength(BUFFER_BYTES);
    socket.receive(packet);
    try {
      receiver.handle(PeerDatagram.decode(packet.getData(), packet.getLength()));
    } catch (IOException malformed) {
      events.reportRefused(packet.getAddress().getHostAddress(), malformed);
    } catch (RuntimeException | Error fault) {
      // Without the pause of the thread: one sender must not keep out the reports of all others.
      events.fault(MeshTask.REPORTS, fault);
    }
  }

  @Override
  public void close() {
    thread.close();
    DatagramSocket openSocket = socket;
    if (openSocket != null) {
      openSocket.close();
    }
  }
}
