package io.umberpath.node.proxy.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.ChunkedTransferEncoding;
import org.glassfish.grizzly.http.ContentEncoding;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.TransferEncoding;

/**
 * Grizzly's client codec with strict framing. It forwards interim responses, rejects bytes that no
 * request is waiting for, and leaves content codings untouched.
 */
public final class ClientCodecFilter extends HttpClientFilter {
  private static final byte[] HTTP_1_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
  private static final int STATUS_OFFSET = HTTP_1_PREFIX.length + 2;
  private static final int STATUS_LAST_DIGIT_OFFSET = STATUS_OFFSET + 2;

  private static final int INCOMPLETE = -1;
  private static final int MALFORMED = -2;

  private final ClientCodecDelegate delegate;

  /**
   * Creates a filter that any number of connections can share.
   *
   * @param maxHeaderBytes limit for a response head, and for a trailer section
   */
  public ClientCodecFilter(int maxHeaderBytes, ClientCodecDelegate delegate) {
    super(maxHeaderBytes);
    this.delegate = delegate;
    setPreserveHeaderCase(true);
    for (ContentEncoding encoding : getContentEncodings()) {
      removeContentEncoding(encoding);
    }
    for (TransferEncoding encoding : getTransferEncodings()) {
      if (encoding instanceof ChunkedTransferEncoding) {
        removeTransferEncoding(encoding);
      }
    }
    addTransferEncoding(new StrictChunkedEncoding(maxHeaderBytes));
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    while (delegate.isAwaitingHead(connection)) {
      Buffer buffer = context.getMessage();
      if (!mayBeInterimResponse(buffer)) {
        break;
      }
      int end = forwardInterimResponse(connection, buffer);
      if (end == INCOMPLETE) {
        return context.getStopAction(buffer);
      }
      if (end == MALFORMED || end == buffer.limit()) {
        return context.getStopAction();
      }
      context.setMessage(buffer.split(end));
    }
    if (!delegate.isAwaitingHead(connection) && !delegate.isReadingBody(connection)) {
      delegate.onMalformedResponse(
          connection,
          new MalformedMessageException("received bytes while no request is in flight"));
      return context.getStopAction();
    }
    return super.handleRead(context);
  }

  /**
   * Forwards an interim response; returns the index after it, {@link #INCOMPLETE} or {@link
   * #MALFORMED}.
   */
  private int forwardInterimResponse(Connection<?> connection, Buffer buffer) {
    int start = buffer.position();
    int end;
    try {
      end = MessageHeadValidator.findEnd(buffer, maxHeadersSize);
      if (end < 0) {
        return INCOMPLETE;
      }
      MessageHeadValidator.checkResponse(buffer, start, end);
      if (buffer.get(start + STATUS_OFFSET + 1) == '0'
          && buffer.get(start + STATUS_LAST_DIGIT_OFFSET) == '1') {
        throw new MalformedMessageException("101 response to a request without Upgrade");
      }
    } catch (MalformedMessageException malformed) {
      delegate.onMalformedResponse(connection, malformed);
      return MALFORMED;
    }
    byte[] head = new byte[end - start];
    for (int index = 0; index < head.length; index++) {
      head[index] = buffer.get(start + index);
    }
    delegate.onInterimResponse(connection, head);
    return end;
  }

  /** Whether the bytes received so far are, or could become, the start of a 1xx response. */
  private static boolean mayBeInterimResponse(Buffer buffer) {
    int start = buffer.position();
    int comparedBytes = Math.min(buffer.remaining(), HTTP_1_PREFIX.length);
    for (int index = 0; index < comparedBytes; index++) {
      if (buffer.get(start + index) != HTTP_1_PREFIX[index]) {
        return false;
      }
    }
    return buffer.remaining() <= STATUS_OFFSET || buffer.get(start + STATUS_OFFSET) == '1';
  }

  @Override
  protected boolean decodeHttpPacket(
      FilterChainContext context, HttpPacketParsing packet, Buffer buffer) {
    // The codec overwrites folded lines in the buffer, so the whole head is validated before the
    // codec parses any of it.
    int end = MessageHeadValidator.findEnd(buffer, maxHeadersSize);
    if (end < 0) {
      return false;
    }
    MessageHeadValidator.checkResponse(buffer, buffer.position(), end);
    boolean complete = super.decodeHttpPacket(context, packet, buffer);
    if (complete) {
      delegate.onHeadDecoded(context.getConnection());
    }
    return complete;
  }

  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader header, Buffer buffer, FilterChainContext context) {
    boolean isComplete = super.onHttpHeaderParsed(header, buffer, context);
    ResponseHead.detach((HttpResponsePacket) header);
    return isComplete;
  }

  @Override
  protected void onIncomingUpgrade(FilterChainContext context, HttpHeader header) {
    // With an upgrade set, the codec would stop framing the body. No upgrade was requested, so the
    // header is ignored.
    header.setUpgrade(null);
  }

  @Override
  protected void onHttpHeaderError(HttpHeader header, FilterChainContext context, Throwable error) {
    delegate.onMalformedResponse(context.getConnection(), error);
  }

  @Override
  protected void onHttpContentError(
      HttpHeader header, FilterChainContext context, Throwable error) {
    header.setContentBroken(true);
  }
}
