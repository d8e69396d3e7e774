package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;

/** A peer that writes arbitrary bytes to a plain socket. */
final class RawPeer implements AutoCloseable {
  static final PeerAddress ADDRESS = new PeerAddress("127.0.0.1", 9);

  private final Socket socket;

  RawPeer(Socket socket) {
    this.socket = socket;
  }

  static RawPeer dial(PeerAddress to) throws IOException {
    return new RawPeer(new Socket(InetAddress.getByName(to.host()), to.port()));
  }

  static byte[] hello(PeerAddress listenAddress, int protocolVersion) {
    byte[] payload =
        new MessageCodec<>(Hello.class).encode(new Hello(protocolVersion, listenAddress, 1));
    return Frame.encode(FrameKind.HELLO, payload);
  }

  static byte[] hello() {
    return hello(ADDRESS, Frame.PROTOCOL_VERSION);
  }

  static byte[] message(int number) {
    byte[] payload = TestMessages.codec().encode(TestMessages.message(number));
    return Frame.encode(FrameKind.MESSAGE, payload);
  }

  /** Encodes a frame header without a payload. */
  static byte[] header(int length, int version, int kind) {
    return ByteBuffer.allocate(Frame.HEADER_BYTES)
        .putInt(length)
        .put((byte) version)
        .put((byte) kind)
        .array();
  }

  RawPeer write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    return this;
  }

  /** Closes the connection with a TCP reset, as happens when the peer's machine fails. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Reads until the peer closes the connection; fails after a read timeout. */
  void awaitClosed() throws IOException {
    socket.setSoTimeout(30_000);
    InputStream input = socket.getInputStream();
    byte[] ignored = new byte[4096];
    try {
      int count = 0;
      while (count >= 0) {
        count = input.read(ignored);
      }
    } catch (SocketTimeoutException e) {
      throw new AssertionError("the connection was not closed", e);
    } catch (SocketException e) {
      // A reset closes the connection as well.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
