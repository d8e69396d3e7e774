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
import java.util.function.LongSupplier;
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

  /** A body that is queued, since and until when. */
  private record Waiting(long sinceMillis, long startByMillis) {}

  /**
   * A body that is being received.
   *
   * @param queuedMillis how long it was queued
   * @param startedMillis when the sender was asked for it
   * @param receivedBytes bytes received when last checked; -1 before the first check
   * @param progressMillis when that number last changed
   */
  private record Transfer(
      long queuedMillis, long startedMillis, long receivedBytes, long progressMillis) {
    Transfer update(long bytes, long nowMillis) {
      return bytes == receivedBytes
          ? this
          : new Transfer(queuedMillis, startedMillis, bytes, nowMillis);
    }
  }

  private final Map<Exchange, Waiting> waiting = new LinkedHashMap<>();
  private final Map<Exchange, Transfer> activeUploads = new HashMap<>();
  private final Predicate<Exchange> isAccepted;
  private final RequestEvents events;
  private final LongSupplier clockMillis;

  /**
   * Creates a scheduler without uploads.
   *
   * @param isAccepted whether the backend still accepts a request
   */
  BodyUploadScheduler(
      Predicate<Exchange> isAccepted, RequestEvents events, LongSupplier clockMillis) {
    this.isAccepted = isAccepted;
    this.events = events;
    this.clockMillis = clockMillis;
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
      waiting.put(exchange, new Waiting(clockMillis.getAsLong(), startByMillis));
    }
    startWaitingUploads();
  }

  /** Frees the place of a request whose body has been received or that has ended. */
  void release(Exchange exchange) {
    Transfer transfer = remove(exchange);
    if (transfer != null && exchange.body().isBuffered()) {
      events.uploadReceived(
          (MeshInboundPlan) exchange.plan(),
          exchange.body().received(),
          transfer.queuedMillis(),
          clockMillis.getAsLong() - transfer.startedMillis(),
          waitingCount());
    }
    startWaitingUploads();
  }

  /** Removes a request; returns its transfer if its body was being received, otherwise null. */
  private synchronized Transfer remove(Exchange exchange) {
    waiting.remove(exchange);
    return activeUploads.remove(exchange);
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
    for (Map.Entry<Exchange, Waiting> each : waiting.entrySet()) {
      if (each.getValue().startByMillis() < nowMillis) {
        expired.add(each.getKey());
      }
    }
    waiting.keySet().removeAll(expired);
    return expired;
  }

  private synchronized void dropStalled(long nowMillis) {
    activeUploads.replaceAll(
        (exchange, before) -> before.update(exchange.body().received(), nowMillis));
    activeUploads.values().removeIf(each -> each.progressMillis() + STALLED_MILLIS <= nowMillis);
  }

  /** Returns the number of requests whose bodies are being received. */
  synchronized int activeCount() {
    return activeUploads.size();
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
    Iterator<Map.Entry<Exchange, Waiting>> first = waiting.entrySet().iterator();
    if (!first.hasNext() || activeUploads.size() >= MAX_CONCURRENT_UPLOADS) {
      return null;
    }
    Map.Entry<Exchange, Waiting> next = first.next();
    first.remove();
    long nowMillis = clockMillis.getAsLong();
    long queuedMillis = nowMillis - next.getValue().sinceMillis();
    activeUploads.put(next.getKey(), new Transfer(queuedMillis, nowMillis, -1, nowMillis));
    return next.getKey();
  }
}
