package io.umberpath.node.proxy;

import com.google.common.flogger.FluentLogger;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.traffic.AdmissionController;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionController.Decision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Assigns concurrency slots, such as those of the backend beside this node, to exchanges. A request
 * that is refused here certainly did not run: nothing of it has been sent. Thread-safe.
 */
public final class SlotGate {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** An exchange that has requested a slot. */
  private record SlotRequest(long id, Exchange exchange, AtomicReference<SlotState> state) {}

  /** The state of a slot request; decides the race between its admission and its end. */
  private enum SlotState {
    REQUESTED,
    ADMITTED,
    ENDED
  }

  private final AdmissionController admission;
  private final Predicate<Exchange> send;
  private final LongSupplier clockMillis;
  private final ToLongFunction<Exchange> serviceMicros;
  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, SlotRequest> byId = new ConcurrentHashMap<>();
  private final Map<Exchange, SlotRequest> byExchange = new ConcurrentHashMap<>();
  private final ThreadLocal<Deque<Decision>> pendingDecisions = new ThreadLocal<>();

  /**
   * Creates a gate with all slots free.
   *
   * @param send sends an admitted exchange to the backend; false if the exchange has ended
   * @param clockMillis monotonic clock, milliseconds
   */
  public SlotGate(
      AdmissionController admission, Predicate<Exchange> send, LongSupplier clockMillis) {
    this(admission, send, clockMillis, exchange -> exchange.history().sinceSentMicros());
  }

  /**
   * Creates a gate with all slots free.
   *
   * @param send starts the use of a slot; false if the exchange has ended
   * @param clockMillis monotonic clock, milliseconds
   * @param serviceMicros how long an exchange that ends has used its slot, microseconds; 0 if that
   *     tells nothing about others
   */
  public SlotGate(
      AdmissionController admission,
      Predicate<Exchange> send,
      LongSupplier clockMillis,
      ToLongFunction<Exchange> serviceMicros) {
    this.admission = admission;
    this.send = send;
    this.clockMillis = clockMillis;
    this.serviceMicros = serviceMicros;
  }

  /**
   * Requests a slot; the exchange is sent or refused, now or later.
   *
   * @param requestFactory creates the admission request with the given id
   */
  public void requestSlot(Exchange exchange, LongFunction<AdmissionRequest> requestFactory) {
    SlotRequest request =
        new SlotRequest(
            lastId.incrementAndGet(), exchange, new AtomicReference<>(SlotState.REQUESTED));
    byId.put(request.id(), request);
    byExchange.put(exchange, request);
    AdmissionRequest admissionRequest = requestFactory.apply(request.id());
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.submit(clockMillis.getAsLong(), admissionRequest);
    }
    apply(decisions);
  }

  /** Refuses queued requests whose deadline can no longer be met. */
  public void tick(long nowMillis) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.tick(nowMillis);
    }
    apply(decisions);
  }

  /** Refuses new and queued requests from now on. */
  public void drain() {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.drain(clockMillis.getAsLong());
    }
    apply(decisions);
  }

  /**
   * Refuses queued requests as not run, so that they are sent elsewhere at once.
   *
   * @param isRefused selects the requests
   */
  public void refuseQueued(Predicate<Exchange> isRefused) {
    for (SlotRequest request : byExchange.values()) {
      // Skips a request that is being admitted: the refusal says that it did not run.
      if (isRefused.test(request.exchange())
          && request.state().compareAndSet(SlotState.REQUESTED, SlotState.ENDED)) {
        remove(request);
        cancel(request.id());
        request.exchange().refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      }
    }
  }

  /** Changes the number of slots; running requests are not affected. */
  public void resize(int slots) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.resize(clockMillis.getAsLong(), slots);
    }
    apply(decisions);
  }

  /** Number of requests that hold a slot. */
  public int running() {
    synchronized (admission) {
      return admission.running();
    }
  }

  /** Number of queued requests. */
  public int queued() {
    synchronized (admission) {
      return admission.queued();
    }
  }

  /** Mean time for which a request holds its slot, microseconds. */
  public long meanServiceMicros() {
    synchronized (admission) {
      return admission.meanServiceMicros();
    }
  }

  /** The exchanges that hold a slot. */
  public List<Exchange> exchangesHoldingSlot() {
    List<Exchange> running = new ArrayList<>();
    for (SlotRequest request : byExchange.values()) {
      if (request.state().get() == SlotState.ADMITTED) {
        running.add(request.exchange());
      }
    }
    return running;
  }

  /** Releases the slot, or the queue position, of an exchange that has ended. */
  public void ended(Exchange exchange) {
    SlotRequest request = byExchange.get(exchange);
    if (request == null) {
      return;
    }
    remove(request);
    if (request.state().getAndSet(SlotState.ENDED) == SlotState.ADMITTED) {
      release(request.id(), serviceMicros.applyAsLong(exchange));
      return;
    }
    cancel(request.id());
  }

  private void cancel(long id) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.cancel(clockMillis.getAsLong(), id);
    }
    apply(decisions);
  }

  /**
   * Applies decisions one after the other. Decisions that result from one of them on the same
   * thread are queued behind it: otherwise an admitted request that ends at once would admit the
   * next one recursively, and so on through the queue.
   */
  private void apply(List<Decision> decisions) {
    if (decisions.isEmpty()) {
      return;
    }
    Deque<Decision> pending = pendingDecisions.get();
    if (pending != null) {
      pending.addAll(decisions);
      return;
    }
    Deque<Decision> queue = new ArrayDeque<>(decisions);
    pendingDecisions.set(queue);
    try {
      while (!queue.isEmpty()) {
        applyGuarded(queue.remove());
      }
    } finally {
      pendingDecisions.remove();
    }
  }

  /** Applies a decision; if this throws, only its own exchange fails, which releases the slot. */
  private void applyGuarded(Decision decision) {
    SlotRequest request = byId.get(decision.id());
    try {
      apply(decision, request);
    } catch (RuntimeException fault) {
      logger.atSevere().withCause(fault).log("admission decision failed");
      if (request != null) {
        request.exchange().refuse(Refusal.notRun(Verdict.Reason.INTERNAL));
      }
    }
  }

  private void apply(Decision decision, SlotRequest request) {
    if (decision instanceof Decision.Admitted) {
      admit(decision.id(), request);
    } else if (decision instanceof Decision.Refused refused && request != null) {
      remove(request);
      long retryAfter = refused.retryAfterMillis();
      request.exchange().refuse(new Refusal(new Verdict.NotRun(refused.reason()), retryAfter));
    }
  }

  private void admit(long id, SlotRequest request) {
    if (request == null
        || !request.state().compareAndSet(SlotState.REQUESTED, SlotState.ADMITTED)) {
      release(id, 0);
      return;
    }
    boolean sent = send.test(request.exchange());
    if (!sent && request.state().getAndSet(SlotState.ENDED) == SlotState.ADMITTED) {
      // The request had ended before it requested the slot, so that its end released none.
      remove(request);
      release(id, 0);
    }
  }

  private void release(long id, long usedMicros) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.release(clockMillis.getAsLong(), id, usedMicros);
    }
    apply(decisions);
  }

  private void remove(SlotRequest request) {
    byId.remove(request.id());
    byExchange.remove(request.exchange());
  }
}
