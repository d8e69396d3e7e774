package io.umberpath.node.proxy;

import io.umberpath.node.proxy.loop.ArrivalTime;
import io.umberpath.node.proxy.loop.ReadAhead;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOUtils;

/**
 * Reads from a connection and preserves how it ended: Grizzly's transport reports a reset and an
 * orderly close alike, but a response without a declared length is complete only after an orderly
 * close.
 *
 * <p>Read buffers are left to the garbage collector. The codec hands out slices of one buffer as
 * parts of several messages, and the transport would release the whole buffer once one of them has
 * been written.
 */
final class ReadFilter extends TransportFilter {
  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    TCPNIOConnection connection = (TCPNIOConnection) context.getConnection();
    byte[] readAhead = ReadAhead.take(connection);
    if (readAhead.length > 0) {
      return passOn(context, Buffers.wrap(connection.getMemoryManager(), readAhead));
    }
    Buffer buffer;
    try {
      buffer = TCPNIOUtils.allocateAndReadBuffer(connection);
    } catch (IOException ended) {
      // EOFException after an orderly close, another IOException after a reset.
      connection.terminateWithReason(ended);
      throw ended;
    }
    if (buffer == null || buffer.position() == 0) {
      return context.getStopAction();
    }
    ArrivalTime.noteRead(connection);
    buffer.trim();
    return passOn(context, buffer);
  }

  private static NextAction passOn(FilterChainContext context, Buffer buffer) {
    buffer.allowBufferDispose(false);
    context.setMessage(buffer);
    return context.getInvokeAction();
  }
}
