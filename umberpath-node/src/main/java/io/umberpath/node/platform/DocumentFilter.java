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

/** Gathers one bounded answer per connection; runs on the transport's selector thread. */
final class DocumentFilter extends BaseFilter {
  private static final int OK = 200;
  private static final Attribute<Answer> ANSWER =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.platform.answer");

  private final int maxBytes;

  DocumentFilter(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Sends the request; the future completes with the whole body or the cause of failure. */
  static void send(
      Connection<?> connection, URI url, String userAgent, CompletableFuture<byte[]> body) {
    ANSWER.set(connection, new Answer(body));
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
    Answer answer = ANSWER.get(context.getConnection());
    HttpContent content = context.getMessage();
    if (answer != null && !answer.body.isDone()) {
      collect(answer, content);
    }
    content.recycle();
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    fail(context, new PlatformReadException("connection closed before the answer was complete"));
    return context.getInvokeAction();
  }

  private void collect(Answer answer, HttpContent content) {
    HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
    if (head.getStatus() != OK) {
      answer.body.completeExceptionally(
          new PlatformReadException("status " + head.getStatus() + " instead of " + OK));
      return;
    }
    Buffer part = content.getContent();
    if (head.getContentLength() > maxBytes || answer.bytes.size() + part.remaining() > maxBytes) {
      answer.body.completeExceptionally(
          new PlatformReadException("document is larger than " + maxBytes + " bytes"));
      return;
    }
    byte[] bytes = new byte[part.remaining()];
    part.get(bytes);
    answer.bytes.writeBytes(bytes);
    if (content.isLast()) {
      complete(answer, head.getContentLength());
    }
  }

  private static void complete(Answer answer, long announced) {
    if (announced >= 0 && answer.bytes.size() != announced) {
      answer.body.completeExceptionally(
          new PlatformReadException(
              "answer has " + answer.bytes.size() + " bytes of " + announced + " announced"));
      return;
    }
    answer.body.complete(answer.bytes.toByteArray());
  }

  /** Fails the read of this connection unless it is already decided. */
  static void fail(FilterChainContext context, IOException cause) {
    Answer answer = ANSWER.get(context.getConnection());
    if (answer != null) {
      answer.body.completeExceptionally(cause);
    }
  }

  private static final class Answer {
    private final CompletableFuture<byte[]> body;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private Answer(CompletableFuture<byte[]> body) {
      this.body = body;
    }
  }
}
