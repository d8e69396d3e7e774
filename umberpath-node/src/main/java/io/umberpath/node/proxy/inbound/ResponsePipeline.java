package io.umberpath.node.proxy.inbound;

import java.util.ArrayDeque;
import java.util.ArrayList;
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

  /** Total size of held messages and buffered responses at which reading stops, bytes. */
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

  /**
   * Starts a request if it may run at the same time as those ahead of it, or defers its start.
   *
   * @return whether it starts now
   */
  boolean startOrDefer(PipelinedResponse response) {
    boolean starts = mayStart(response);
    if (starts) {
      response.markStarted();
    } else {
      response.deferStart();
    }
    return starts;
  }

  /**
   * Whether a request may run at the same time as those ahead of it. Not behind a response that is
   * being streamed: if that one fails, the connection ends.
   */
  private boolean mayStart(PipelinedResponse response) {
    PipelinedResponse first = responses.peekFirst();
    return response == first || !first.isStreaming() && allAllowConcurrencyUpTo(response);
  }

  private boolean allAllowConcurrencyUpTo(PipelinedResponse last) {
    for (PipelinedResponse response : responses) {
      if (!response.allowsConcurrency()) {
        return false;
      }
      if (response == last) {
        break;
      }
    }
    return true;
  }

  /** Starts the deferred requests that may run now; returns their exchanges. */
  List<Exchange> startDeferred() {
    List<Exchange> started = new ArrayList<>();
    for (PipelinedResponse response : responses) {
      if (response.isStartDeferred() && mayStart(response)) {
        response.markStarted();
        started.add(response.exchange());
      }
    }
    return started;
  }

  /** See {@link PipelinedResponse#tryStartStreaming}. */
  boolean tryStartStreaming(PipelinedResponse response) {
    boolean mayStream =
        response.isCurrent()
            && responses.stream().skip(1).noneMatch(PipelinedResponse::mayReachOrigin);
    if (mayStream) {
      response.startStreaming();
    }
    return mayStream;
  }

  /** Records how much of a response is buffered before it is written, bytes. */
  void setBufferedBytes(PipelinedResponse response, int bytes) {
    heldBytes += response.recordBufferedBytes(bytes);
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
