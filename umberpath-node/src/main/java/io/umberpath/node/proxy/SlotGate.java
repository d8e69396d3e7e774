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

/**
 * Gives the slots of the back end beside this node to exchanges. A refusal here is a firm "not
 * run": nothing of the request has been sent. Thread-safe.
 */
public final class SlotGate {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A request that asked for a slot. */
  private record Waiting(long id, Exchange exchange, AtomicReference<Standing> standing) {}

  /** Where a request stands; settles the race between its admission and its end. */
  private enum Standing {
    ASKED,
    ADMITTED,
    ENDED
  }

  private final AdmissionController admission;
  private final Predicate<Exchange> send;
  private final LongSupplier clockMillis;
  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, Waiting> byId = new ConcurrentHashMap<>();
  private final Map<Exchange, Waiting> byExchange = new ConcurrentHashMap<>();
  private final ThreadLocal<Deque<Decision>> decisionsUnderWay = new ThreadLocal<>();

  /**
   * Creates a gate with every slot free.
   *
   * @param send sends an admitted exchange to the back end; false if the exchange has ended
   * @param clockMillis rising clock, milliseconds
   */
  public SlotGate(
      AdmissionController admission, Predicate<Exchange> send, LongSupplier clockMillis) {
    this.admission = admission;
    this.send = send;
    this.clockMillis = clockMillis;
  }

  /** Asks for a slot; the exchange is sent or refused, now or later. */
  public void ask(Exchange exchange, LongFunction<AdmissionRequest> askOfId) {
    Waiting waiting =
        new Waiting(lastId.incrementAndGet(), exchange, new AtomicReference<>(Standing.ASKED));
    byId.put(waiting.id(), waiting);
    byExchange.put(exchange, waiting);
    AdmissionRequest ask = askOfId.apply(waiting.id());
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.ask(clockMillis.getAsLong(), ask);
    }
    carryOut(decisions);
  }

  /** Lets time pass: refuses what can no longer be met. */
  public void tick(long nowMillis) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.tick(nowMillis);
    }
    carryOut(decisions);
  }

  /** From now on refuses new requests, and queued ones too. */
  public void drain() {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.drain(clockMillis.getAsLong());
    }
    carryOut(decisions);
  }

  /** Refuses what waits for a slot as not run, so that it goes elsewhere at once. */
  public void handBackWaiting() {
    for (Waiting waiting : byExchange.values()) {
      // Only what has not been admitted in this moment: the refusal says that it did not run.
      if (waiting.standing().compareAndSet(Standing.ASKED, Standing.ENDED)) {
        forget(waiting);
        cancel(waiting.id());
        waiting.exchange().refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      }
    }
  }

  /** Changes the number of slots; running requests are not touched. */
  public void resize(int slots) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.resize(clockMillis.getAsLong(), slots);
    }
    carryOut(decisions);
  }

  /** Requests that hold a slot. */
  public int running() {
    synchronized (admission) {
      return admission.running();
    }
  }

  /** Requests that wait. */
  public int queued() {
    synchronized (admission) {
      return admission.queued();
    }
  }

  /** Mean time that a request holds its slot, microseconds. */
  public long meanServiceMicros() {
    synchronized (admission) {
      return admission.meanServiceMicros();
    }
  }

  /** The exchanges that hold a slot. */
  public List<Exchange> runningExchanges() {
    List<Exchange> running = new ArrayList<>();
    for (Waiting waiting : byExchange.values()) {
      if (waiting.standing().get() == Standing.ADMITTED) {
        running.add(waiting.exchange());
      }
    }
    return running;
  }

  /** The exchange is over: gives its slot or its place in the queue back. */
  public void ended(Exchange exchange) {
    Waiting waiting = byExchange.get(exchange);
    if (waiting == null) {
      return;
    }
    forget(waiting);
    if (waiting.standing().getAndSet(Standing.ENDED) == Standing.ADMITTED) {
      release(waiting.id(), exchange.history().sinceSentMicros());
      return;
    }
    cancel(waiting.id());
  }

  private void cancel(long id) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.cancel(clockMillis.getAsLong(), id);
    }
    carryOut(decisions);
  }

  /**
   * Carries decisions out one after the other. What one of them leads to on the same thread comes
   * after it: an admitted request that ends at once lets the next in, and so on through the queue.
   */
  private void carryOut(List<Decision> decisions) {
    if (decisions.isEmpty()) {
      return;
    }
    Deque<Decision> underWay = decisionsUnderWay.get();
    if (underWay != null) {
      underWay.addAll(decisions);
      return;
    }
    Deque<Decision> queue = new ArrayDeque<>(decisions);
    decisionsUnderWay.set(queue);
    try {
      while (!queue.isEmpty()) {
        carryOutGuarded(queue.remove());
      }
    } finally {
      decisionsUnderWay.remove();
    }
  }

  /** A fault ends its own exchange, which gives the slot back, and not the decisions behind. */
  private void carryOutGuarded(Decision decision) {
    Waiting waiting = byId.get(decision.id());
    try {
      carryOut(decision, waiting);
    } catch (RuntimeException fault) {
      logger.atSevere().withCause(fault).log("a decision of the gate was not carried out");
      if (waiting != null) {
        waiting.exchange().refuse(Refusal.notRun(Verdict.Reason.INTERNAL));
      }
    }
  }

  private void carryOut(Decision decision, Waiting waiting) {
    if (decision instanceof Decision.Admitted) {
      admit(decision.id(), waiting);
    } else if (decision instanceof Decision.Refused refused && waiting != null) {
      forget(waiting);
      long retryAfter = refused.retryAfterMillis();
      waiting.exchange().refuse(new Refusal(new Verdict.NotRun(refused.reason()), retryAfter));
    }
  }

  private void admit(long id, Waiting waiting) {
    if (waiting == null || !waiting.standing().compareAndSet(Standing.ASKED, Standing.ADMITTED)) {
      release(id, 0);
      return;
    }
    boolean sent = send.test(waiting.exchange());
    if (!sent && waiting.standing().getAndSet(Standing.ENDED) == Standing.ADMITTED) {
      // The request had ended before it asked, so that its end gave no slot back.
      forget(waiting);
      release(id, 0);
    }
  }

  private void release(long id, long serviceMicros) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.release(clockMillis.getAsLong(), id, serviceMicros);
    }
    carryOut(decisions);
  }

  private void forget(Waiting waiting) {
    byId.remove(waiting.id());
    byExchange.remove(waiting.exchange());
  }
}
