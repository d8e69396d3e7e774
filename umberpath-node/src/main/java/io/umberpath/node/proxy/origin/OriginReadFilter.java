package io.umberpath.node.proxy.origin;

import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOUtils;

/**
 * Reads from an origin and keeps apart how it ended. Grizzly's transport reports a reset and an
 * orderly end alike, as the end of the stream; but an answer without a stated length is whole only
 * after an orderly end.
 */
public final class OriginReadFilter extends TransportFilter {
  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    TCPNIOConnection connection = (TCPNIOConnection) context.getConnection();
    Buffer buffer;
    try {
      buffer = TCPNIOUtils.allocateAndReadBuffer(connection);
    } catch (IOException ended) {
      // EOFException after an orderly end, another one after a reset.
      connection.terminateWithReason(ended);
      throw ended;
    }
    if (buffer == null || buffer.position() == 0) {
      return context.getStopAction();
    }
    buffer.trim();
    context.setMessage(buffer);
    return context.getInvokeAction();
  }
}
