package io.umberpath.node.mesh;

import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * A connection on which another node requests state: reading the request, then writing the
 * response, then closed. Confined to the thread of its server, except for {@link #ageMillis} and
 * {@link #close}.
 */
final class StateConnection {
  /** Limits the temporary buffer that a write of heap memory takes. */
  private static final int MAX_WRITE_BYTES = 64 * 1024;

  private static final long NOT_YET = -1;

  private final SocketChannel channel;
  private final SelectionKey key;
  private final LongSupplier clockMillis;
  private final long acceptedMillis;
  private final ByteBuffer request = ByteBuffer.allocate(StateChangesCodec.REQUEST_BYTES);

  /** Null until the request is complete. */
  private ByteBuffer response;

  private long progressMillis;
  private long requestReadMillis = NOT_YET;
  private long encodedMillis = NOT_YET;

  /** Registers an accepted connection. */
  StateConnection(SocketChannel channel, Selector selector, LongSupplier clockMillis)
      throws IOException {
    this.channel = channel;
    this.clockMillis = clockMillis;
    this.acceptedMillis = clockMillis.getAsLong();
    this.progressMillis = acceptedMillis;
    channel.configureBlocking(false);
    this.key = channel.register(selector, SelectionKey.OP_READ, this);
  }

  /**
   * Reads and writes as far as possible without blocking.
   *
   * @return whether the response was written completely
   * @throws IOException if the client has disconnected or sent something else
   */
  boolean advance(Function<TransferRequest, byte[]> transferFor) throws IOException {
    if (response == null && readRequest()) {
      response = ByteBuffer.wrap(transferFor.apply(decodedRequest()));
      encodedMillis = clockMillis.getAsLong();
      key.interestOps(SelectionKey.OP_WRITE);
    }
    return response != null && writeResponse();
  }

  private boolean readRequest() throws IOException {
    int count = channel.read(request);
    if (count < 0) {
      throw new EOFException("closed by the client before its request");
    }
    recordProgress(count);
    if (request.hasRemaining()) {
      return false;
    }
    requestReadMillis = clockMillis.getAsLong();
    return true;
  }

  private TransferRequest decodedRequest() throws IOException {
    return StateChangesCodec.readRequest(new ByteArrayInputStream(request.array()));
  }

  private boolean writeResponse() throws IOException {
    int written = MAX_WRITE_BYTES;
    while (response.hasRemaining() && written == MAX_WRITE_BYTES) {
      int length = Math.min(response.remaining(), MAX_WRITE_BYTES);
      written = channel.write(response.slice(response.position(), length));
      response.position(response.position() + written);
      recordProgress(written);
    }
    return !response.hasRemaining();
  }

  private void recordProgress(int byteCount) {
    if (byteCount > 0) {
      progressMillis = clockMillis.getAsLong();
    }
  }

  /** Time since the connection was accepted, milliseconds. */
  long ageMillis() {
    return clockMillis.getAsLong() - acceptedMillis;
  }

  /** Time since the client last sent or accepted bytes, milliseconds. */
  long idleMillis() {
    return clockMillis.getAsLong() - progressMillis;
  }

  /** From the acceptance until the request was read, or until now, milliseconds. */
  long requestMillis() {
    return (requestReadMillis == NOT_YET ? clockMillis.getAsLong() : requestReadMillis)
        - acceptedMillis;
  }

  /** From the request until its response was encoded, milliseconds; 0 before. */
  long encodeMillis() {
    return encodedMillis == NOT_YET ? 0 : encodedMillis - requestReadMillis;
  }

  /** Address of the client. */
  String clientHost() {
    InetAddress address = channel.socket().getInetAddress();
    return address == null ? "unknown" : address.getHostAddress();
  }

  void close() {
    try {
      channel.close();
    } catch (IOException ignored) {
      // The descriptor is released in any case.
      return;
    }
  }
}
