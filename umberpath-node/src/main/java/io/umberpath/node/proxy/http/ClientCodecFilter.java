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
 * Grizzly's client codec with strict framing, interim answers passed on, and answers nobody waits
 * for refused. Content codings pass through untouched.
 */
public final class ClientCodecFilter extends HttpClientFilter {
  private static final byte[] HTTP_1 = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
  private static final int STATUS_OFFSET = HTTP_1.length + 2;
  private static final int SWITCHING_PROTOCOLS_LAST_DIGIT = STATUS_OFFSET + 2;

  private static final int INCOMPLETE = -1;
  private static final int MALFORMED = -2;

  private final AnswerObserver observer;

  /**
   * Creates one for any number of connections.
   *
   * @param maxHeaderBytes largest answer head, and largest trailer section
   */
  public ClientCodecFilter(int maxHeaderBytes, AnswerObserver observer) {
    super(maxHeaderBytes);
    this.observer = observer;
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
    while (observer.awaitsHead(connection)) {
      Buffer buffer = context.getMessage();
      if (!mayBeInterim(buffer)) {
        break;
      }
      int end = passInterim(connection, buffer);
      if (end == INCOMPLETE) {
        return context.getStopAction(buffer);
      }
      if (end == MALFORMED || end == buffer.limit()) {
        return context.getStopAction();
      }
      context.setMessage(buffer.split(end));
    }
    if (!observer.awaitsHead(connection) && !observer.inBody(connection)) {
      observer.malformed(connection, new MalformedMessageException("bytes without a request"));
      return context.getStopAction();
    }
    return super.handleRead(context);
  }

  /** Passes an interim answer on; returns the index after it, or one of the constants. */
  private int passInterim(Connection<?> connection, Buffer buffer) {
    int start = buffer.position();
    int end;
    try {
      end = MessageHeadValidator.findEnd(buffer, maxHeadersSize);
      if (end < 0) {
        return INCOMPLETE;
      }
      MessageHeadValidator.checkAnswer(buffer, start, end);
      if (buffer.get(start + STATUS_OFFSET + 1) == '0'
          && buffer.get(start + SWITCHING_PROTOCOLS_LAST_DIGIT) == '1') {
        throw new MalformedMessageException("answer 101 to a request without upgrade");
      }
    } catch (MalformedMessageException malformed) {
      observer.malformed(connection, malformed);
      return MALFORMED;
    }
    byte[] head = new byte[end - start];
    for (int index = 0; index < head.length; index++) {
      head[index] = buffer.get(start + index);
    }
    observer.interim(connection, head);
    return end;
  }

  /** Whether the bytes so far are, or could become, the start of a 1xx answer. */
  private static boolean mayBeInterim(Buffer buffer) {
    int start = buffer.position();
    int known = Math.min(buffer.remaining(), HTTP_1.length);
    for (int index = 0; index < known; index++) {
      if (buffer.get(start + index) != HTTP_1[index]) {
        return false;
      }
    }
    return buffer.remaining() <= STATUS_OFFSET || buffer.get(start + STATUS_OFFSET) == '1';
  }

  @Override
  protected boolean decodeHttpPacket(
      FilterChainContext context, HttpPacketParsing packet, Buffer buffer) {
    // The codec overwrites folded lines, so the whole head is checked before it sees any of it.
    int end = MessageHeadValidator.findEnd(buffer, maxHeadersSize);
    if (end < 0) {
      return false;
    }
    MessageHeadValidator.checkAnswer(buffer, buffer.position(), end);
    boolean complete = super.decodeHttpPacket(context, packet, buffer);
    if (complete) {
      observer.headDecoded(context.getConnection());
    }
    return complete;
  }

  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader header, Buffer buffer, FilterChainContext context) {
    boolean isComplete = super.onHttpHeaderParsed(header, buffer, context);
    AnswerHead.detach((HttpResponsePacket) header);
    return isComplete;
  }

  @Override
  protected void onIncomingUpgrade(FilterChainContext context, HttpHeader header) {
    // The codec would stop framing the body; no upgrade was asked for, so the header is ignored.
    header.setUpgrade(null);
  }

  @Override
  protected void onHttpHeaderError(HttpHeader header, FilterChainContext context, Throwable error) {
    observer.malformed(context.getConnection(), error);
  }

  @Override
  protected void onHttpContentError(
      HttpHeader header, FilterChainContext context, Throwable error) {
    header.setContentBroken(true);
  }
}
