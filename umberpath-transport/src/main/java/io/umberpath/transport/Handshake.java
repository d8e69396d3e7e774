package io.umberpath.transport;

import com.google.common.net.InetAddresses;
import io.umberpath.model.PeerAddress;
import io.vavr.control.Either;

/** Makes this node's hello and checks those of others. Immutable. */
final class Handshake {
  /** Longest frame before the hello has been checked. */
  static final int MAX_HELLO_BYTES = 512;

  private final MessageCodec<Hello> codec = new MessageCodec<>(Hello.class);
  private final PeerAddress self;
  private final byte[] frame;

  Handshake(PeerAddress self, long incarnation) {
    this.self = self;
    Hello hello = new Hello(Frame.PROTOCOL_VERSION, self, incarnation);
    this.frame = Frame.encode(FrameKind.HELLO, codec.encode(hello));
  }

  /** The encoded hello of this node. */
  byte[] frame() {
    return frame;
  }

  /** The other side's hello, or why it ends the connection. */
  Either<TransportError, Hello> read(PeerConnection connection, byte[] payload) {
    if (connection.isEstablished()) {
      return refused("second hello");
    }
    return codec
        .decode(payload)
        .mapLeft(error -> new TransportError(TransportFault.BAD_HELLO, error.detail()))
        .flatMap(hello -> check(connection, hello));
  }

  private Either<TransportError, Hello> check(PeerConnection connection, Hello hello) {
    PeerAddress named = hello.listening();
    if (hello.protocolVersion() != Frame.PROTOCOL_VERSION) {
      return refused("protocolVersion " + hello.protocolVersion());
    }
    if (named.port() < 1
        || named.port() > PeerAddress.MAX_PORT
        || named.host() == null
        || !InetAddresses.isInetAddress(named.host())) {
      return refused("listening address is not an IP address and port");
    }
    if (named.equals(self)) {
      return refused("listening address " + named + " is this node's own");
    }
    if (connection.isOutbound() && !named.equals(connection.dialled.get())) {
      return refused("dialled " + connection.dialled.get() + ", answered as " + named);
    }
    return Either.right(hello);
  }

  private static Either<TransportError, Hello> refused(String detail) {
    return Either.left(new TransportError(TransportFault.BAD_HELLO, detail));
  }
}
