package io.umberpath.node.proxy.loop;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from a connection whose filter chain is suspended, up to a bound, so that the peer's end is
 * noticed meanwhile. The chain gets these bytes before any later ones once it has completed.
 * Thread-safe.
 */
public final class ReadAhead {
  private static final Attribute<ReadAhead> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.readAhead");

  private static final int MAX_BYTES = 32 * 1024;
  private static final byte[] NOTHING = {};

  private final Connection<?> connection;
  private final Arrival arrival;
  private boolean isSuspended;
  private byte[] held = NOTHING;

  private ReadAhead(Connection<?> connection, Arrival arrival) {
    this.connection = connection;
    this.arrival = arrival;
  }

  /** Reads ahead from a connection that has just been accepted. */
  public static ReadAhead accepted(Connection<?> connection, Arrival arrival) {
    ReadAhead ahead = new ReadAhead(connection, arrival);
    ATTRIBUTE.set(connection, ahead);
    return ahead;
  }

  /** Handles that bytes can be read; false if the filter chain is to read them. */
  public static boolean handlesRead(Connection<?> connection) {
    ReadAhead ahead = ATTRIBUTE.get(connection);
    return ahead != null && ahead.readIfSuspended();
  }

  /** Takes what has been read ahead, for the filter chain; empty if nothing has. */
  public static byte[] take(Connection<?> connection) {
    ReadAhead ahead = ATTRIBUTE.get(connection);
    return ahead == null ? NOTHING : ahead.takeHeld();
  }

  /** The filter chain is suspended, or again before it has completed. */
  public synchronized void suspended(FilterChainContext context) {
    if (!isSuspended) {
      isSuspended = true;
      // A chain that is resumed on another thread still reads nothing until it has completed.
      context.addCompletionListener(completed -> completed());
    }
    if (held.length < MAX_BYTES) {
      selectReads(true);
    }
  }

  private synchronized void completed() {
    isSuspended = false;
    if (held.length > 0) {
      // The socket may be empty, so that no selection would have them read.
      simulateRead();
    }
  }

  /** Whether bytes have been read ahead that the filter chain has not taken. */
  public synchronized boolean isHolding() {
    return held.length > 0;
  }

  /**
   * Reads what has arrived, for the filter chain to take next. Does nothing on another thread than
   * the connection's own, which may be reading.
   *
   * @return whether bytes have been read that the filter chain has not taken
   */
  public synchronized boolean look() {
    if (held.length == 0 && !isSuspended && EventLoop.isOwnThread(connection)) {
      lookNow();
    }
    return held.length > 0;
  }

  private void lookNow() {
    try {
      read();
    } catch (IOException ended) {
      // The next selection finds the end again, and reports it.
      return;
    }
    if (held.length > 0) {
      arrival.readingStops();
      simulateRead();
    }
  }

  private synchronized byte[] takeHeld() {
    if (held.length > 0) {
      arrival.takesReadAhead();
    }
    byte[] taken = held;
    held = NOTHING;
    return taken;
  }

  private boolean readIfSuspended() {
    try {
      return readUnderLock();
    } catch (IOException ended) {
      connection.terminateWithReason(ended);
      return true;
    }
  }

  private synchronized boolean readUnderLock() throws IOException {
    if (isSuspended) {
      read();
    }
    return isSuspended;
  }

  private void read() throws IOException {
    ByteBuffer room = ByteBuffer.allocate(MAX_BYTES);
    room.put(held);
    SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
    int count = room.hasRemaining() ? channel.read(room) : 0;
    if (count < 0) {
      throw new EOFException("the peer has ended the connection");
    }
    if (!room.hasRemaining()) {
      selectReads(false);
    }
    if (count > 0) {
      held = new byte[room.position()];
      room.flip().get(held);
    }
  }

  private void selectReads(boolean isEnabled) {
    try {
      if (isEnabled) {
        connection.enableIOEvent(IOEvent.READ);
      } else {
        connection.disableIOEvent(IOEvent.READ);
      }
    } catch (IOException closed) {
      connection.terminateWithReason(closed);
    }
  }

  private void simulateRead() {
    try {
      connection.simulateIOEvent(IOEvent.READ);
    } catch (IOException closed) {
      connection.terminateWithReason(closed);
    }
  }
}
