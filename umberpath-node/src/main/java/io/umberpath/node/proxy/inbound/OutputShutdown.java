package io.umberpath.node.proxy.inbound;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Shuts down the output of a connection once the socket has accepted all pending writes; reading
 * continues.
 */
final class OutputShutdown {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private OutputShutdown() {}

  /** Shuts down the output after all pending writes. */
  static void afterPendingWrites(Connection<?> connection) {
    if (connection instanceof TCPNIOConnection tcp) {
      // An empty write completes after all earlier writes.
      ((TCPNIOTransport) tcp.getTransport())
          .getWriter(tcp)
          .write(tcp, Buffers.EMPTY_BUFFER, new Shutdown(tcp));
    } else {
      connection.closeSilently();
    }
  }

  private static final class Shutdown
      extends EmptyCompletionHandler<WriteResult<WritableMessage, SocketAddress>> {
    private final TCPNIOConnection connection;

    Shutdown(TCPNIOConnection connection) {
      this.connection = connection;
    }

    @Override
    public void completed(WriteResult<WritableMessage, SocketAddress> written) {
      try {
        ((SocketChannel) connection.getChannel()).shutdownOutput();
      } catch (IOException lost) {
        logger.atFine().withCause(lost).log("peer has already closed the connection");
        connection.terminateSilently();
      }
    }

    @Override
    public void failed(Throwable lost) {
      connection.terminateSilently();
    }

    @Override
    public void cancelled() {
      connection.terminateSilently();
    }
  }
}
