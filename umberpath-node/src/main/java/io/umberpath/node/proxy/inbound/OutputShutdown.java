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

/** Ends what is written to a connection once the socket has taken it all; reading goes on. */
final class OutputShutdown {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private OutputShutdown() {}

  /** Ends the output behind all that has been written. */
  static void afterPendingWrites(Connection<?> connection) {
    if (connection instanceof TCPNIOConnection tcp) {
      // An empty write completes when those before it have.
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
        logger.atFine().withCause(lost).log("the peer has ended the connection already");
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
