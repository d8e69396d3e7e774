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
 * Limits how many request bodies other nodes send at the same time, in the order in which they
 * asked for {@code 100 Continue}. If all were sent at once, they would delay every small request on
 * a link with little bandwidth. Thread-safe.
 */
final class BodyUploadScheduler {
  /** Bodies sent at the same time: with two, the next one starts to arrive while one ends. */
  private static final int MAX_CONCURRENT_UPLOADS = 2;

  /**
   * Time without a received byte after which a body no longer counts against the limit,
   * milliseconds.
   */
  private static final long STALLED_MILLIS = 1_000;

  private static final long RETRY_AFTER_MILLIS = 100;

  /** Bytes received of a body, and the time at which that number last changed. */
  private record Progress(long receivedBytes, long sinceMillis) {}

  /** Progress of a body that has not been checked yet. */
  private static final Progress NOT_OBSERVED = new Progress(-1, 0);

  private final Map<Exchange, Long> waiting = new LinkedHashMap<>();
  private final Map<Exchange, Progress> activeUploads = new HashMap<>();
  private final Predicate<Exchange> isAccepted;

  /**
   * Creates a scheduler without uploads.
   *
   * @param isAccepted whether the backend still accepts a request
   */
  BodyUploadScheduler(Predicate<Exchange> isAccepted) {
    this.isAccepted = isAccepted;
  }

  /**
   * Queues the request's body if the sender expects {@code 100 Continue}; does nothing otherwise.
   *
   * @param startByMillis time at which the request is refused if its body is still queued
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

  /** Frees the place of a request whose body has been received or that has ended. */
  void release(Exchange exchange) {
    remove(exchange);
    startWaitingUploads();
  }

  private synchronized void remove(Exchange exchange) {
    waiting.remove(exchange);
    activeUploads.remove(exchange);
  }

  /**
   * Refuses requests that were queued too long, and stops counting bodies that make no progress.
   */
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

  /** Returns the number of requests whose bodies are queued. */
  synchronized int waitingCount() {
    return waiting.size();
  }

  private void startWaitingUploads() {
    for (Exchange next = activateNext(); next != null; next = activateNext()) {
      if (!isAccepted.test(next)) {
        remove(next);
        next.refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      } else if (!next.sendContinue()) {
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
