package io.umberpath.node.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.Header;

/**
 * Collects one response of limited size per connection. Runs on the transport's selector thread.
 */
final class DocumentFilter extends BaseFilter {
  private static final int OK = 200;
  private static final Attribute<PendingResponse> PENDING_RESPONSE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.platform.pendingResponse");

  private final int maxBytes;

  DocumentFilter(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Sends the request; the future completes with the body or the cause of the failure. */
  static void send(
      Connection<?> connection, URI url, String userAgent, CompletableFuture<byte[]> body) {
    PENDING_RESPONSE.set(connection, new PendingResponse(body));
    HttpRequestPacket request =
        HttpRequestPacket.builder()
            .method(Method.GET)
            .uri(url.getRawPath() == null || url.getRawPath().isEmpty() ? "/" : url.getRawPath())
            .query(url.getRawQuery())
            .protocol(Protocol.HTTP_1_1)
            .header(Header.Host, url.getAuthority())
            .header(Header.UserAgent, userAgent)
            .header(Header.Accept, "application/json")
            .header(Header.Connection, "close")
            .build();
    connection.write(HttpContent.builder(request).last(true).build());
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    PendingResponse response = PENDING_RESPONSE.get(context.getConnection());
    HttpContent content = context.getMessage();
    if (response != null && !response.body.isDone()) {
      appendContent(response, content);
    }
    content.recycle();
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    fail(context, new PlatformReadException("connection closed before the answer was complete"));
    return context.getInvokeAction();
  }

  private void appendContent(PendingResponse response, HttpContent content) {
    HttpResponsePacket header = (HttpResponsePacket) content.getHttpHeader();
    if (header.getStatus() != OK) {
      response.body.completeExceptionally(
          new PlatformReadException("status " + header.getStatus() + " instead of " + OK));
      return;
    }
    Buffer part = content.getContent();
    if (header.getContentLength() > maxBytes
        || response.bytes.size() + part.remaining() > maxBytes) {
      response.body.completeExceptionally(
          new PlatformReadException("document is larger than " + maxBytes + " bytes"));
      return;
    }
    byte[] bytes = new byte[part.remaining()];
    part.get(bytes);
    response.bytes.writeBytes(bytes);
    if (content.isLast()) {
      complete(response, header.getContentLength());
    }
  }

  private static void complete(PendingResponse response, long contentLength) {
    if (contentLength >= 0 && response.bytes.size() != contentLength) {
      response.body.completeExceptionally(
          new PlatformReadException(
              "answer has " + response.bytes.size() + " bytes of " + contentLength + " announced"));
      return;
    }
    response.body.complete(response.bytes.toByteArray());
  }

  /** Fails the read of this connection unless it is already complete. */
  static void fail(FilterChainContext context, IOException cause) {
    PendingResponse response = PENDING_RESPONSE.get(context.getConnection());
    if (response != null) {
      response.body.completeExceptionally(cause);
    }
  }

  private static final class PendingResponse {
    private final CompletableFuture<byte[]> body;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private PendingResponse(CompletableFuture<byte[]> body) {
      this.body = body;
    }
  }
}
