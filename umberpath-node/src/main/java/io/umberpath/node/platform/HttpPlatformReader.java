package io.umberpath.node.platform;

import com.google.common.net.InetAddresses;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.node.settings.NodeSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Reads the platform's document over HTTP/1.1, with one connection per read. It neither retries nor
 * caches: the control side decides when to read again. Thread-safe; never blocks.
 */
public final class HttpPlatformReader implements PlatformReader {
  /** Largest document accepted, bytes. */
  public static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

  private static final int MAX_HEADER_BYTES = 8_192;
  private static final int DEFAULT_PORT = 80;

  private final URI url;
  private final InetSocketAddress address;
  private final long timeoutMillis;
  private final String userAgent;
  private final TCPNIOTransport transport;

  private HttpPlatformReader(
      URI url, InetSocketAddress address, long timeoutMillis, PeerAddress self) {
    this.url = url;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
    this.userAgent = "umberpath (" + self + ")";
    this.transport = transport(MAX_DOCUMENT_BYTES);
  }

  /**
   * Starts a reader.
   *
   * @param settings where the document is and how long one read may take
   * @param self address of this node, sent to the platform in the user agent
   * @throws IllegalArgumentException if the URL is not {@code http} with an IP address
   * @throws IOException if the network transport cannot start
   */
  public static HttpPlatformReader open(NodeSettings.Platform settings, PeerAddress self)
      throws IOException {
    URI url = URI.create(settings.url());
    String host = url.getHost();
    if (!"http".equals(url.getScheme()) || host == null || !InetAddresses.isUriInetAddress(host)) {
      throw new IllegalArgumentException(
          "platform.url = '" + settings.url() + "': must be http:// with an IP address");
    }
    int port = url.getPort() < 0 ? DEFAULT_PORT : url.getPort();
    InetSocketAddress address = new InetSocketAddress(InetAddresses.forUriString(host), port);
    HttpPlatformReader reader =
        new HttpPlatformReader(url, address, settings.timeoutMillis(), self);
    reader.transport.start();
    return reader;
  }

  @Override
  public CompletionStage<PlatformDocument> read() {
    CompletableFuture<byte[]> body = new CompletableFuture<>();
    transport.connect(address, new ConnectHandler(body));
    return body.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .handle(this::parseDocument)
        .thenCompose(result -> result);
  }

  @Override
  public void close() {
    try {
      transport.shutdownNow();
    } catch (IOException failure) {
      throw new IllegalStateException("the platform reader could not be closed", failure);
    }
  }

  private CompletionStage<PlatformDocument> parseDocument(byte[] body, Throwable failure) {
    if (failure != null) {
      return CompletableFuture.failedStage(toReadException(failure));
    }
    return PlatformDocumentCodec.parse(body)
        .<CompletionStage<PlatformDocument>>fold(
            violations ->
                CompletableFuture.failedStage(
                    new PlatformReadException("document refused: " + violations.get(0))),
            CompletableFuture::completedStage);
  }

  private PlatformReadException toReadException(Throwable failure) {
    if (failure instanceof PlatformReadException already) {
      return already;
    }
    if (failure instanceof TimeoutException) {
      return new PlatformReadException(
          "no whole answer from " + address + " within " + timeoutMillis + " ms");
    }
    return new PlatformReadException(
        "reading from " + address + " failed: " + failure.getMessage(), failure);
  }

  private static TCPNIOTransport transport(int maxDocumentBytes) {
    FilterChainBuilder chain =
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new ResponseCodecFilter(MAX_HEADER_BYTES))
            .add(new DocumentFilter(maxDocumentBytes));
    TCPNIOTransport transport =
        TCPNIOTransportBuilder.newInstance()
            .setName("platform-reader")
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(1)
            .build();
    transport.setProcessor(chain.build());
    return transport;
  }

  /** Sends the request once connected, and closes the connection when the read ends. */
  @SuppressWarnings("rawtypes") // Grizzly's connect takes a handler of the raw Connection.
  private final class ConnectHandler extends EmptyCompletionHandler<Connection> {
    private final CompletableFuture<byte[]> body;

    private ConnectHandler(CompletableFuture<byte[]> body) {
      this.body = body;
    }

    @Override
    public void completed(Connection connection) {
      body.whenComplete((bytes, failure) -> connection.terminateSilently());
      if (!body.isDone()) {
        DocumentFilter.send(connection, url, userAgent, body);
      }
    }

    @Override
    public void failed(Throwable failure) {
      body.completeExceptionally(failure);
    }
  }
}
