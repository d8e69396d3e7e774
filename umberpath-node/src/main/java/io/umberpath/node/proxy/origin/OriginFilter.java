package io.umberpath.node.proxy.origin;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.ClientCodecDelegate;
import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.ResponseHead;
import java.io.EOFException;
import java.util.function.Consumer;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** Passes decoded responses to the listener of the attempt on their connection. Stateless. */
public final class OriginFilter extends BaseFilter implements ClientCodecDelegate {
  private final Consumer<OriginConnection> onReusable;

  /**
   * Creates a filter that any number of connections can share.
   *
   * @param onReusable takes a connection whose attempt has ended and that can be reused
   */
  public OriginFilter(Consumer<OriginConnection> onReusable) {
    this.onReusable = onReusable;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    OriginConnection origin = OriginConnection.of(context.getConnection());
    ResponseListener listener = origin.listener();
    if (listener == null || content instanceof HttpBrokenContent) {
      origin.fail(Verdict.Reason.BAD_ANSWER);
      return context.getStopAction();
    }
    HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
    boolean last = content.isLast();
    boolean first = !head.isCommitted();
    head.setCommitted(true);
    if (first && !last && !head.isChunked() && head.getContentLength() < 0) {
      origin.setCloseDelimitedHead(ResponseHead.of(head));
    }
    if (last) {
      origin.completeResponse(head.getProcessingState().isKeepAlive());
      // Excess bytes after the response are detected before the chain completes; only then is it
      // known whether the connection is reusable.
      context.addCompletionListener(completed -> release(origin));
    }
    ResponsePart part = toResponsePart(content, ResponseHead.of(head), first, last);
    if (listener.onResponsePart(part) || last) {
      return context.getStopAction();
    }
    NextAction suspend = context.getSuspendAction();
    context.suspend();
    listener.whenReadyForMore(() -> context.resume(context.getStopAction()));
    return suspend;
  }

  private static ResponsePart toResponsePart(
      HttpContent content, ResponseHead head, boolean first, boolean last) {
    return new ResponsePart(
        head, first, content.getContent(), last, HeaderFields.trailersOf(content));
  }

  private void release(OriginConnection origin) {
    if (origin.isReusable()) {
      onReusable.accept(origin);
    } else {
      origin.abandon();
    }
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    OriginConnection origin = OriginConnection.of(context.getConnection());
    if (origin != null) {
      CloseReason reason = context.getConnection().getCloseReason();
      origin.onConnectionClosed(reason == null || reason.getCause() instanceof EOFException);
    }
    return context.getStopAction();
  }

  @Override
  public boolean isAwaitingHead(Connection<?> connection) {
    OriginConnection origin = OriginConnection.of(connection);
    return origin != null && origin.isAwaitingHead();
  }

  @Override
  public boolean isReadingBody(Connection<?> connection) {
    OriginConnection origin = OriginConnection.of(connection);
    return origin != null && origin.isReadingBody();
  }

  @Override
  public void onHeadDecoded(Connection<?> connection) {
    OriginConnection.of(connection).onHeadDecoded();
  }

  @Override
  public void onInterimResponse(Connection<?> connection, byte[] head) {
    ResponseListener listener = OriginConnection.of(connection).listener();
    if (listener != null) {
      listener.onInterimResponse(head);
    }
  }

  @Override
  public void onMalformedResponse(Connection<?> connection, Throwable error) {
    OriginConnection origin = OriginConnection.of(connection);
    if (origin == null) {
      connection.terminateSilently();
    } else {
      origin.fail(Verdict.Reason.BAD_ANSWER);
    }
  }
}
