package io.umberpath.node.proxy.http;

import io.umberpath.model.Verdict;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.ChunkedTransferEncoding;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.TransferEncoding;
import org.glassfish.grizzly.http.util.Header;

/**
 * Grizzly's server codec with strict framing. For a malformed head this filter sends an error
 * response with the verdict "not run" and closes the connection; a malformed body reaches the next
 * filter as broken content.
 */
public final class ServerCodecFilter extends HttpServerFilter {
  /**
   * Creates a filter that any number of connections can share.
   *
   * @param maxHeaderBytes limit for a request head, and for a trailer section
   */
  @SuppressWarnings("deprecation") // the default settings limit a connection to 256 requests
  public ServerCodecFilter(int maxHeaderBytes) {
    super(true, maxHeaderBytes, unlimitedKeepAlive(), null);
    setPreserveHeaderCase(true);
    setAllowPayloadForUndefinedHttpMethods(true);
    replaceChunkedEncoding(maxHeaderBytes);
  }

  private void replaceChunkedEncoding(int maxTrailerBytes) {
    for (TransferEncoding encoding : getTransferEncodings()) {
      if (encoding instanceof ChunkedTransferEncoding) {
        removeTransferEncoding(encoding);
      }
    }
    addTransferEncoding(new StrictChunkedEncoding(maxTrailerBytes));
  }

  private static KeepAlive unlimitedKeepAlive() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setMaxRequestsCount(-1);
    return keepAlive;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    PendingResponses pending = PendingResponses.of(context.getConnection());
    if (pending != null && pending.isEnded()) {
      Buffer discarded = context.getMessage();
      pending.onBytesDiscarded(discarded.remaining());
      discarded.tryDispose();
      return context.getStopAction();
    }
    NextAction action = super.handleRead(context);
    if (pending != null) {
      // An action that carries undecoded bytes is neither of the two shared instances.
      pending.setHasUndecodedBytes(
          action != context.getInvokeAction() && action != context.getStopAction());
    }
    return action;
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
    MessageHeadValidator.checkRequest(buffer, buffer.position(), end);
    return super.decodeHttpPacket(context, packet, buffer);
  }

  @Override
  protected Buffer encodeHttpPacket(FilterChainContext context, HttpPacket packet) {
    HttpHeader head = packet.getHttpHeader();
    if (!head.isCommitted() && !head.containsHeader(Header.Date)) {
      // Without a Date header, the codec would format the date itself.
      head.setHeader(Header.Date, HttpDates.of(System.currentTimeMillis()));
    }
    return super.encodeHttpPacket(context, packet);
  }

  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader header, Buffer buffer, FilterChainContext context) {
    Method method = ((HttpRequestPacket) header).getMethod();
    if (method == Method.CONNECT || method == Method.TRACE || method == Method.PRI) {
      // The codec does not frame the bodies of these methods.
      throw new MalformedMessageException("method is not supported");
    }
    boolean isComplete = super.onHttpHeaderParsed(header, buffer, context);
    RequestHead.detach((HttpRequestPacket) header);
    return isComplete;
  }

  @Override
  protected void onIncomingUpgrade(FilterChainContext context, HttpHeader header) {
    // With an upgrade set, the codec would stop framing the body. Upgrades are not supported, so
    // the header is ignored.
    header.setUpgrade(null);
  }

  @Override
  protected void onHttpHeaderError(HttpHeader header, FilterChainContext context, Throwable error)
      throws IOException {
    // The response must not echo a protocol version that the codec does not know.
    header.setProtocol(Protocol.HTTP_1_1);
    HttpResponsePacket response = responseOf(header);
    response.setStatus(reasonOf(error).status());
    PendingResponses pending = PendingResponses.of(context.getConnection());
    if (pending == null) {
      super.onHttpHeaderError(header, context, error);
    } else {
      pending.writeFinalResponse(customizeErrorResponse(response));
    }
  }

  @Override
  protected void onHttpContentError(
      HttpHeader header, FilterChainContext context, Throwable error) {
    header.setContentBroken(true);
  }

  @Override
  protected HttpContent customizeErrorResponse(HttpResponsePacket response) {
    Verdict.Reason reason =
        response.getStatus() == Verdict.Reason.TOO_LARGE.status()
            ? Verdict.Reason.TOO_LARGE
            : Verdict.Reason.BAD_REQUEST;
    response.setStatus(reason.status());
    response.setHeader(ProxyHeaders.VERDICT, VerdictHeader.format(new Verdict.NotRun(reason)));
    response.getProcessingState().setKeepAlive(false);
    return super.customizeErrorResponse(response);
  }

  private static HttpResponsePacket responseOf(HttpHeader header) {
    return ((HttpRequestPacket) header).getResponse();
  }

  private static Verdict.Reason reasonOf(Throwable error) {
    boolean tooLarge =
        error instanceof MalformedMessageException malformed && malformed.isTooLarge();
    return tooLarge ? Verdict.Reason.TOO_LARGE : Verdict.Reason.BAD_REQUEST;
  }
}
