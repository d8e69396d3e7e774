package io.umberpath.node.proxy.inbound;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.http.HttpContent;

/**
 * The pending responses of a connection, in the order of their requests. Guarded by the
 * connection's lock.
 */
final class ResponsePipeline {
  /** Most requests that are read before the first of them is answered. */
  private static final int MAX_PIPELINED = 16;

  /** Total size of held messages at which reading stops, bytes. */
  private static final long MAX_HELD_BYTES = 128 * 1024;

  private final Deque<PipelinedResponse> responses = new ArrayDeque<>();
  private long heldBytes;

  /** Adds the response of a request that has just been read. */
  void add(PipelinedResponse response) {
    if (responses.isEmpty()) {
      response.makeCurrent();
    }
    responses.add(response);
  }

  PipelinedResponse first() {
    return responses.peekFirst();
  }

  PipelinedResponse removeFirst() {
    return responses.removeFirst();
  }

  boolean isEmpty() {
    return responses.isEmpty();
  }

  boolean isLast(PipelinedResponse response) {
    return responses.peekLast() == response;
  }

  /** Whether another request may begin. */
  boolean hasRoom() {
    PipelinedResponse last = responses.peekLast();
    boolean mayBeFollowed = last == null || last.allowsPipelining();
    return mayBeFollowed && responses.size() < MAX_PIPELINED && canHoldMore();
  }

  /** Whether more messages may be held. */
  boolean canHoldMore() {
    return heldBytes < MAX_HELD_BYTES;
  }

  /** The exchange to which a body part belongs; null if none. */
  Exchange exchangeOf(HttpContent content) {
    PipelinedResponse last = responses.peekLast();
    boolean belongs = last != null && last.request() == content.getHttpHeader();
    return belongs ? last.exchange() : null;
  }

  /** Whether a request may run at the same time as all requests in flight on the connection. */
  boolean mayStartConcurrently(PipelinedResponse response) {
    return response == responses.peekFirst() || PipelinedResponse.allAllowConcurrency(responses);
  }

  void hold(PipelinedResponse response, Object message, long bytes) {
    response.hold(message, bytes);
    heldBytes += bytes;
  }

  List<Object> takeHeld(PipelinedResponse response) {
    heldBytes -= response.heldBytes();
    return response.takeHeld();
  }

  /** Removes all responses of a closed connection and returns their exchanges. */
  List<Exchange> takeAll() {
    List<Exchange> open = responses.stream().map(PipelinedResponse::exchange).toList();
    responses.clear();
    heldBytes = 0;
    return open;
  }
}
