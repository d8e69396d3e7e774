package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Refusal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.glassfish.grizzly.http.util.Header;

/**
 * Lets other nodes send long bodies a few at a time, in the order in which they asked. All at once
 * they would stand in front of every small request at a narrow link. Thread-safe.
 */
final class BodyUploadScheduler {
  /** Bodies that may be under way at a time: while one ends, the next begins to come. */
  private static final int MAX_CONCURRENT_UPLOADS = 2;

  /** Time without a byte after which a body no longer keeps others waiting, milliseconds. */
  private static final long STALLED_MILLIS = 1_000;

  private static final long RETRY_AFTER_MILLIS = 100;

  /** What had been read of a body, and since when. */
  private record Progress(long receivedBytes, long sinceMillis) {}

  /** Before it is looked at for the first time. */
  private static final Progress NOT_OBSERVED = new Progress(-1, 0);

  private final Map<Exchange, Long> waiting = new LinkedHashMap<>();
  private final Map<Exchange, Progress> activeUploads = new HashMap<>();
  private final Predicate<Exchange> isAccepted;

  /**
   * Creates grants of which none is given.
   *
   * @param isTaken whether the back end still takes a request
   */
  BodyUploadScheduler(Predicate<Exchange> isAccepted) {
    this.isAccepted = isAccepted;
  }

  /**
   * Has the sender wait for its turn, if it waits to be told to send the body.
   *
   * @param startByMillis when the request is refused if it still waits for its turn
   */
  void enqueue(Exchange exchange, long startByMillis) {
    if (exchange.request().field(Header.Expect.toString()).isEmpty()) {
      return;
    }
    synchronized (this) {
      waiting.put(exchange, startByMillis);
    }
    startWaitingUploads();
  }

  /** Its body is there, or the request is over. */
  void release(Exchange exchange) {
    remove(exchange);
    startWaitingUploads();
  }

  private synchronized void remove(Exchange exchange) {
    waiting.remove(exchange);
    activeUploads.remove(exchange);
  }

  /** Refuses those that have waited for too long, and passes over bodies that do not come. */
  void tick(long nowMillis) {
    for (Exchange expired : removeExpired(nowMillis)) {
      expired.refuse(
          new Refusal(new Verdict.NotRun(Verdict.Reason.OVERLOADED), RETRY_AFTER_MILLIS));
    }
    dropStalled(nowMillis);
    startWaitingUploads();
  }

  private synchronized List<Exchange> removeExpired(long nowMillis) {
    List<Exchange> expired = new ArrayList<>();
    for (Map.Entry<Exchange, Long> each : waiting.entrySet()) {
      if (each.getValue() < nowMillis) {
        expired.add(each.getKey());
      }
    }
    waiting.keySet().removeAll(expired);
    return expired;
  }

  private synchronized void dropStalled(long nowMillis) {
    activeUploads.replaceAll((exchange, before) -> updatedProgress(exchange, before, nowMillis));
    activeUploads.values().removeIf(each -> each.sinceMillis() + STALLED_MILLIS <= nowMillis);
  }

  private static Progress updatedProgress(Exchange exchange, Progress before, long nowMillis) {
    long receivedBytes = exchange.body().received();
    boolean isSame = before.receivedBytes() == receivedBytes;
    return isSame ? before : new Progress(receivedBytes, nowMillis);
  }

  /** Requests whose bodies wait for their turn. */
  synchronized int waitingCount() {
    return waiting.size();
  }

  private void startWaitingUploads() {
    for (Exchange next = activateNext(); next != null; next = activateNext()) {
      if (!isAccepted.test(next)) {
        remove(next);
        next.refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      } else if (!next.continueBody()) {
        remove(next);
      }
    }
  }

  private synchronized Exchange activateNext() {
    Iterator<Exchange> first = waiting.keySet().iterator();
    if (!first.hasNext() || activeUploads.size() >= MAX_CONCURRENT_UPLOADS) {
      return null;
    }
    Exchange next = first.next();
    first.remove();
    activeUploads.put(next, NOT_OBSERVED);
    return next;
  }
}
