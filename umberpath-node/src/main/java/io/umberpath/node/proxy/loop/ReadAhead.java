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
 * Reads from a connection while its filter chain is suspended, up to a limit, so that the peer's
 * close is noticed. After the chain has completed, it gets these bytes before any later ones.
 * Thread-safe.
 */
public final class ReadAhead {
  private static final Attribute<ReadAhead> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.readAhead");

  private static final int MAX_BYTES = 32 * 1024;
  private static final byte[] EMPTY = {};

  private final Connection<?> connection;
  private final ArrivalTime arrivalTime;
  private boolean isSuspended;
  private byte[] buffered = EMPTY;

  private ReadAhead(Connection<?> connection, ArrivalTime arrivalTime) {
    this.connection = connection;
    this.arrivalTime = arrivalTime;
  }

  /** Creates the read-ahead buffer of a connection that has just been accepted. */
  public static ReadAhead attachTo(Connection<?> connection, ArrivalTime arrivalTime) {
    ReadAhead readAhead = new ReadAhead(connection, arrivalTime);
    ATTRIBUTE.set(connection, readAhead);
    return readAhead;
  }

  /** Handles a read event; false if the filter chain is to read. */
  public static boolean readIfSuspended(Connection<?> connection) {
    ReadAhead readAhead = ATTRIBUTE.get(connection);
    return readAhead != null && readAhead.readOrTerminate();
  }

  /** Removes and returns the bytes read ahead, for the filter chain; empty if there are none. */
  public static byte[] take(Connection<?> connection) {
    ReadAhead readAhead = ATTRIBUTE.get(connection);
    return readAhead == null ? EMPTY : readAhead.takeBuffered();
  }

  /** Called when the filter chain is suspended, also repeatedly before it has completed. */
  public synchronized void onSuspended(FilterChainContext context) {
    if (!isSuspended) {
      isSuspended = true;
      // A chain that is resumed on another thread reads nothing until it has completed.
      context.addCompletionListener(completed -> onCompleted());
    }
    if (buffered.length < MAX_BYTES) {
      selectReads(true);
    }
  }

  private synchronized void onCompleted() {
    isSuspended = false;
    if (buffered.length > 0) {
      // The socket may be empty, so that no selection would trigger reading the buffered bytes.
      simulateRead();
    }
  }

  /** Whether bytes have been read ahead that the filter chain has not taken. */
  public synchronized boolean hasBufferedBytes() {
    return buffered.length > 0;
  }

  /**
   * Reads the available input into the buffer. Does nothing if called on a thread other than the
   * connection's selector thread, which may be reading.
   *
   * @return whether there are bytes that the filter chain has not taken
   */
  public synchronized boolean readNow() {
    if (buffered.length == 0 && !isSuspended && EventLoop.isSelectorThreadOf(connection)) {
      readAndRedispatch();
    }
    return buffered.length > 0;
  }

  private void readAndRedispatch() {
    try {
      read();
    } catch (IOException ended) {
      // The next selection finds the end of the connection again and reports it.
      return;
    }
    if (buffered.length > 0) {
      arrivalTime.onReadingSuspended();
      simulateRead();
    }
  }

  private synchronized byte[] takeBuffered() {
    if (buffered.length > 0) {
      arrivalTime.onReadAheadTaken();
    }
    byte[] bytes = buffered;
    buffered = EMPTY;
    return bytes;
  }

  private boolean readOrTerminate() {
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
    ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
    buffer.put(buffered);
    SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
    int count = buffer.hasRemaining() ? channel.read(buffer) : 0;
    if (count < 0) {
      throw new EOFException("the peer has ended the connection");
    }
    if (!buffer.hasRemaining()) {
      selectReads(false);
    }
    if (count > 0) {
      buffered = new byte[buffer.position()];
      buffer.flip().get(buffered);
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
