package io.umberpath.node.mesh;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** HTTP filter that serves small status pages of this node, such as readiness and metrics. */
final class StatusFilter extends BaseFilter {
  /**
   * A response.
   *
   * @param status HTTP status
   * @param body body
   */
  record StatusResponse(int status, String body) {}

  private final Function<String, StatusResponse> responses;

  /** Creates a filter that computes the response for a path. */
  StatusFilter(Function<String, StatusResponse> responses) {
    this.responses = responses;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    if (!content.isLast()) {
      return context.getStopAction();
    }
    HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
    StatusResponse statusResponse = responses.apply(request.getRequestURI());
    byte[] body = statusResponse.body().getBytes(StandardCharsets.UTF_8);
    HttpResponsePacket response = request.getResponse();
    response.setStatus(statusResponse.status());
    response.setContentType("text/plain; charset=utf-8");
    response.setContentLength(body.length);
    Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body);
    context.write(response.httpContentBuilder().content(buffer).last(true).build());
    return context.getStopAction();
  }
}
