package io.umberpath.transport;

import com.google.common.net.InetAddresses;
import io.umberpath.model.PeerAddress;
import io.vavr.control.Either;

/** Encodes this node's hello and validates those of peers. Immutable. */
final class Handshake {
  /** Maximum frame size until the hello has been validated. */
  static final int MAX_HELLO_BYTES = 512;

  private final MessageCodec<Hello> codec = new MessageCodec<>(Hello.class);
  private final PeerAddress self;
  private final byte[] helloFrame;

  Handshake(PeerAddress self, long incarnation) {
    this.self = self;
    Hello hello = new Hello(Frame.PROTOCOL_VERSION, self, incarnation);
    this.helloFrame = Frame.encode(FrameKind.HELLO, codec.encode(hello));
  }

  /** Encoded hello frame of this node. */
  byte[] helloFrame() {
    return helloFrame;
  }

  /** Decodes and validates the peer's hello; an error closes the connection. */
  Either<TransportError, Hello> readHello(PeerConnection connection, byte[] payload) {
    if (connection.isEstablished()) {
      return badHello("second hello");
    }
    return codec
        .decode(payload)
        .mapLeft(error -> new TransportError(TransportFault.BAD_HELLO, error.detail()))
        .flatMap(hello -> validate(connection, hello));
  }

  private Either<TransportError, Hello> validate(PeerConnection connection, Hello hello) {
    PeerAddress listenAddress = hello.listenAddress();
    if (hello.protocolVersion() != Frame.PROTOCOL_VERSION) {
      return badHello("unsupported protocolVersion " + hello.protocolVersion());
    }
    if (listenAddress.port() < 1
        || listenAddress.port() > PeerAddress.MAX_PORT
        || listenAddress.host() == null
        || !InetAddresses.isInetAddress(listenAddress.host())) {
      return badHello("listening address is not an IP address and port");
    }
    if (listenAddress.equals(self)) {
      return badHello("listening address " + listenAddress + " is this node's own");
    }
    if (connection.isOutbound() && !listenAddress.equals(connection.dialledAddress.get())) {
      return badHello(
          "dialled " + connection.dialledAddress.get() + ", answered as " + listenAddress);
    }
    return Either.right(hello);
  }

  private static Either<TransportError, Hello> badHello(String detail) {
    return Either.left(new TransportError(TransportFault.BAD_HELLO, detail));
  }
}
