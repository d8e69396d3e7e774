package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.SlotGate;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionControllers;
import io.umberpath.traffic.routing.UploadLoad;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.glassfish.grizzly.http.util.Header;

/**
 * Limits how many long request bodies other nodes send at the same time. If all were sent at once,
 * they would delay every small request on a link with little bandwidth.
 *
 * <p>Senders ask with {@code Expect: 100-continue}. The link has admission control like the slots
 * of a backend: bodies of requests that can still be in time go first, in due order, and a request
 * that would wait too long is refused before its body is sent. Thread-safe.
 */
final class BodyUploadScheduler {
  /** Bodies sent at the same time: with two, the next one starts to arrive while one ends. */
  private static final int MAX_CONCURRENT_UPLOADS = 2;

  /**
   * Time without a received byte after which a body no longer counts against the limit,
   * milliseconds.
   */
  private static final long STALLED_MILLIS = 1_000;

  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * A body that is being received.
   *
   * @param startedMillis when the sender was asked for it
   * @param receivedBytes bytes received when last checked
   * @param progressMillis when that number last changed
   */
  private record Transfer(long startedMillis, long receivedBytes, long progressMillis) {
    Transfer update(long bytes, long nowMillis) {
      return bytes == receivedBytes ? this : new Transfer(startedMillis, bytes, nowMillis);
    }

    boolean isStalled(long nowMillis) {
      return progressMillis + STALLED_MILLIS <= nowMillis;
    }
  }

  private final SlotGate link;
  private final Map<Exchange, Transfer> transfers = new ConcurrentHashMap<>();
  private final Predicate<Exchange> isAccepted;
  private final RequestEvents events;
  private final LongSupplier clockMillis;
  private volatile boolean hasReceived;

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
    this.link =
        new SlotGate(
            AdmissionControllers.createInDueOrder(
                AdmissionLimits.settings(MAX_CONCURRENT_UPLOADS, MIN_RETRY_AFTER_MILLIS)),
            this::start,
            clockMillis,
            this::transferMicros);
  }

  /** Whether the sender of a request waits to be asked for its body. */
  static boolean isAwaited(Exchange exchange) {
    return exchange.request().field(Header.Expect.toString()).isPresent();
  }

  /**
   * Asks for the request's body now or later, or refuses the request.
   *
   * @param requestFactory creates the admission request with the given id; its expected time covers
   *     the transfer and all that follows
   */
  void enqueue(Exchange exchange, LongFunction<AdmissionRequest> requestFactory) {
    link.requestSlot(exchange, requestFactory);
  }

  private boolean start(Exchange exchange) {
    if (!isAccepted.test(exchange)) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      return false;
    }
    long nowMillis = clockMillis.getAsLong();
    transfers.put(exchange, new Transfer(nowMillis, exchange.body().received(), nowMillis));
    boolean waits = exchange.sendContinue();
    if (!waits) {
      transfers.remove(exchange);
    }
    return waits;
  }

  /** Frees the place of a request whose body has been received or that has ended. */
  void release(Exchange exchange) {
    link.ended(exchange);
    Transfer transfer = transfers.remove(exchange);
    if (transfer != null && exchange.body().isBuffered()) {
      hasReceived = true;
      MeshInboundPlan plan = (MeshInboundPlan) exchange.plan();
      events.uploadReceived(
          plan,
          exchange.body().received(),
          transfer.startedMillis() - plan.arrivedMillis(),
          clockMillis.getAsLong() - transfer.startedMillis(),
          queuedCount());
    }
  }

  /** Time that a body needed the link, microseconds; 0 if it was not received completely. */
  private long transferMicros(Exchange exchange) {
    Transfer transfer = transfers.get(exchange);
    return transfer == null || !exchange.body().isBuffered()
        ? 0
        : Math.max(1, clockMillis.getAsLong() - transfer.startedMillis()) * MICROS_PER_MILLI;
  }

  /**
   * Refuses requests that were queued too long, and stops counting bodies that make no progress.
   */
  void tick(long nowMillis) {
    link.tick(nowMillis);
    transfers.replaceAll(
        (exchange, before) -> before.update(exchange.body().received(), nowMillis));
    transfers.forEach(
        (exchange, transfer) -> {
          if (transfer.isStalled(nowMillis)) {
            link.ended(exchange);
          }
        });
  }

  /** Refuses queued requests that the backend no longer accepts. */
  void refuseUnacceptedQueued() {
    link.refuseQueued(exchange -> !isAccepted.test(exchange));
  }

  /** Mean time from asking for a body until it is received, microseconds. */
  long meanTransferMicros() {
    return link.meanServiceMicros();
  }

  /** Returns the load of the link. */
  UploadLoad load() {
    long bodyMicros = hasReceived ? link.meanServiceMicros() / MAX_CONCURRENT_UPLOADS : 0;
    return new UploadLoad(activeCount() + queuedCount(), bodyMicros);
  }

  /** Returns the number of requests whose bodies are being received. */
  int activeCount() {
    return link.running();
  }

  /** Returns the number of requests whose bodies are queued. */
  int queuedCount() {
    return link.queued();
  }
}
