package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.BufferBytes;
import io.umberpath.node.proxy.http.ChunkedEncoder;
import io.umberpath.node.proxy.http.HeaderCopier;
import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.http.VerdictHeader;
import io.umberpath.node.proxy.origin.ResponsePart;
import io.umberpath.traffic.ChainRetryBudget;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.Header;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Writes the response of one exchange to its client. Guarded by the exchange's lock. */
final class ResponseWriter {
  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

  /** Memory accounted for a held message in addition to its content, bytes. */
  private static final int HELD_MESSAGE_OVERHEAD_BYTES = 1_024;

  private static final String CLOSE = "close";
  private static final String CHUNKED = "chunked";
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final PipelinedResponse pipelined;
  private final RequestHandler handler;
  private final HttpRequestPacket request;
  private final HttpResponsePacket response;

  /** Whether the body is sent with chunked transfer coding. */
  private boolean isChunked;

  ResponseWriter(PipelinedResponse pipelined, HttpRequestPacket request, RequestHandler handler) {
    this.pipelined = pipelined;
    this.handler = handler;
    this.request = request;
    this.response = request.getResponse();
  }

  /** Sends 100 (Continue), so that the client sends the request body. */
  void writeContinue() {
    writeInterimResponse(CONTINUE);
  }

  /** Forwards an interim (1xx) response; HTTP/1.0 clients would take it for the final one. */
  void writeInterimResponse(byte[] head) {
    if (isHttp11()) {
      pipelined.write(wrap(head), head.length);
    }
  }

  /** Writes a part of an origin's response. */
  void writePart(ResponsePart part, RequestPlan plan) {
    if (part.first()) {
      if (part.last()) {
        endConnectionIfDraining();
      }
      writeHead(part.head());
      String requestId = handler.requestIdForResponse(plan);
      if (requestId != null) {
        response.getHeaders().setValue(ProxyHeaders.REQUEST_ID).setString(requestId);
      }
      handler.addResponseHeaders(plan, response);
    }
    boolean hasContent = part.content() != null && part.content().hasRemaining();
    if (part.first() || hasContent || part.last()) {
      Buffer content = part.content() == null ? Buffers.EMPTY_BUFFER : part.content();
      write(content, part.last(), part.trailers());
    }
  }

  private void writeHead(ResponseHead head) {
    response.setStatus(head.status());
    head.reason().ifPresent(response::setReasonPhrase);
    HeaderCopier.copy(head.fields(), response, Set.of());
    head.field(ChainRetryBudget.HEADER)
        .ifPresent(
            budget -> response.getHeaders().setValue(ChainRetryBudget.HEADER).setString(budget));
    if (head.contentLength() >= 0 && !head.isChunked()) {
      writeWithLength(head.contentLength());
    } else if (hasNoBody(head.status())) {
      writeVerbatim();
    } else if (isHttp11()) {
      response.getHeaders().setValue(Header.TransferEncoding).setString(CHUNKED);
      isChunked = true;
      writeVerbatim();
    } else {
      response.setChunkingAllowed(false);
      closeAfterResponse();
    }
  }

  private void writeWithLength(long contentLength) {
    response.getHeaders().setValue(Header.ContentLength).setString(Long.toString(contentLength));
    writeVerbatim();
  }

  /** Whether a response ends with its head, whatever its headers say (RFC 9112, section 6.3). */
  private boolean hasNoBody(int status) {
    return request.isHeadRequest() || status == NO_CONTENT || status == NOT_MODIFIED;
  }

  /**
   * Makes the codec write head and body as they are. Otherwise it would close the connection after
   * responses with certain statuses, even if pipelined requests follow.
   */
  private void writeVerbatim() {
    response.setProtocol(Protocol.HTTP_1_1);
    response.setIgnoreContentModifiers(true);
    if (!isKeepAlive()) {
      response.getHeaders().setValue(Header.Connection).setString(CLOSE);
    } else if (!isHttp11()) {
      response.getHeaders().setValue(Header.Connection).setString("keep-alive");
    }
  }

  /**
   * Writes a refusal as the complete response.
   *
   * @param endsConnection whether too much of the request body is missing to read and discard the
   *     rest
   */
  void writeRefusal(Refusal refusal, RequestPlan plan, boolean endsConnection) {
    String requestId = handler.requestIdForResponse(plan);
    String verdict = VerdictHeader.format(refusal.verdict());
    byte[] text = (verdict + "\n").getBytes(StandardCharsets.US_ASCII);
    response.setStatus(handler.refusalStyle().status(refusal.verdict()));
    response.getHeaders().setValue(ProxyHeaders.VERDICT).setString(verdict);
    response.getHeaders().setValue(Header.ContentType).setString("text/plain");
    if (requestId != null) {
      response.getHeaders().setValue(ProxyHeaders.REQUEST_ID).setString(requestId);
    } else {
      // This proxy has given up: no proxy upstream of it should retry.
      response
          .getHeaders()
          .setValue(ChainRetryBudget.HEADER)
          .setString(ChainRetryBudget.NONE.encode());
    }
    if (refusal.retryAfterMillis() > 0) {
      String retryAfter = handler.refusalStyle().retryAfter(refusal.retryAfterMillis());
      response.getHeaders().setValue(Header.RetryAfter).setString(retryAfter);
      if (requestId != null) {
        response
            .getHeaders()
            .setValue(ProxyHeaders.RETRY_AFTER_MILLIS)
            .setString(Long.toString(refusal.retryAfterMillis()));
      }
    }
    handler.addResponseHeaders(plan, response);
    if (endsConnection) {
      closeAfterResponse();
    } else if (refusal.reason() == Verdict.Reason.DRAINING) {
      endConnectionIfLast();
    } else {
      endConnectionIfDraining();
    }
    writeWithLength(text.length);
    write(wrap(text), true, HeaderFields.NONE);
  }

  /**
   * Closes the connection after this response if the node is draining. This is decided only when
   * the complete response is available: a request read while a response is being sent would run and
   * have no response.
   */
  private void endConnectionIfDraining() {
    if (handler.isDraining()) {
      endConnectionIfLast();
    }
  }

  /** Only for the current response: behind a held one, more requests may still be read. */
  private void endConnectionIfLast() {
    if (pipelined.isCurrent() && pipelined.tryMakeLast()) {
      request.getProcessingState().setKeepAlive(false);
    }
  }

  /**
   * Called before a response that was held completely is written: a draining node may close the
   * connection after it.
   */
  void beforeHeldResponseWritten() {
    if (handler.isDraining() && !response.isCommitted() && pipelined.tryMakeLast()) {
      request.getProcessingState().setKeepAlive(false);
      if (response.isIgnoreContentModifiers()) {
        response.getHeaders().setValue(Header.Connection).setString(CLOSE);
      }
    }
  }

  /** Announces that the connection closes after this response; no later request is begun. */
  void closeAfterResponse() {
    pipelined.announceLast();
    request.getProcessingState().setKeepAlive(false);
  }

  boolean isKeepAlive() {
    return request.getProcessingState().isKeepAlive();
  }

  boolean canWrite() {
    return pipelined.canWrite();
  }

  private boolean isHttp11() {
    return request.getProtocol() == Protocol.HTTP_1_1;
  }

  private void write(Buffer content, boolean last, HeaderFields trailers) {
    Buffer framed = isChunked ? wrap(ChunkedEncoder.encode(content, last, trailers)) : content;
    // A held part would otherwise keep the whole read buffer that it is a slice of in memory.
    Buffer retained =
        isChunked || pipelined.isCurrent() ? framed : wrap(BufferBytes.copyOf(framed));
    int bytes = retained.remaining();
    pipelined.write(
        OutgoingRequest.part(response, retained, last, HeaderFields.NONE),
        HELD_MESSAGE_OVERHEAD_BYTES + bytes);
  }

  private static Buffer wrap(byte[] bytes) {
    return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
  }
}
