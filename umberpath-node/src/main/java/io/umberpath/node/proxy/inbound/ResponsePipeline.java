package io.umberpath.node.proxy.inbound;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.http.HttpContent;

/** The answers that a connection owes, in the order of their requests. Its lock guards them. */
final class ResponsePipeline {
  /** Requests read before the first of them is answered. */
  private static final int MAX_PIPELINED = 16;

  /** Bytes of answers held for their turn, beyond which nothing more is read. */
  private static final long MAX_HELD_BYTES = 128 * 1024;

  private final Deque<PipelinedResponse> responses = new ArrayDeque<>();
  private long heldBytes;

  /** Adds the turn of a request that has just been read. */
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

  /** Whether the request of one more may begin. */
  boolean hasRoom() {
    PipelinedResponse last = responses.peekLast();
    boolean mayBeFollowed = last == null || last.allowsPipelining();
    return mayBeFollowed && responses.size() < MAX_PIPELINED && canHoldMore();
  }

  /** Whether more of an answer may be held for its turn. */
  boolean canHoldMore() {
    return heldBytes < MAX_HELD_BYTES;
  }

  /** The exchange that a piece of a body belongs to; null if to none. */
  Exchange exchangeOf(HttpContent content) {
    PipelinedResponse last = responses.peekLast();
    boolean belongs = last != null && last.request() == content.getHttpHeader();
    return belongs ? last.exchange() : null;
  }

  /** Whether a request may run beside all those that are under way. */
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

  /** Takes all: no answer can be given any more. */
  List<Exchange> takeAll() {
    List<Exchange> open = responses.stream().map(PipelinedResponse::exchange).toList();
    responses.clear();
    heldBytes = 0;
    return open;
  }
}
