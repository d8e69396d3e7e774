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
final class BodyGrants {
  /** Bodies that may be under way at a time: while one ends, the next begins to come. */
  private static final int MAX_UNDER_WAY = 2;

  /** Time without a byte after which a body no longer keeps others waiting, milliseconds. */
  private static final long STALLED_MILLIS = 1_000;

  private static final long RETRY_MILLIS = 100;

  /** What had been read of a body, and since when. */
  private record Progress(long receivedBytes, long sinceMillis) {}

  /** Before it is looked at for the first time. */
  private static final Progress NONE = new Progress(-1, 0);

  private final Map<Exchange, Long> waiting = new LinkedHashMap<>();
  private final Map<Exchange, Progress> underWay = new HashMap<>();
  private final Predicate<Exchange> isTaken;

  /**
   * Creates grants of which none is given.
   *
   * @param isTaken whether the back end still takes a request
   */
  BodyGrants(Predicate<Exchange> isTaken) {
    this.isTaken = isTaken;
  }

  /**
   * Has the sender wait for its turn, if it waits to be told to send the body.
   *
   * @param startByMillis when the request is refused if it still waits for its turn
   */
  void ask(Exchange exchange, long startByMillis) {
    if (exchange.request().field(Header.Expect.toString()).isEmpty()) {
      return;
    }
    synchronized (this) {
      waiting.put(exchange, startByMillis);
    }
    grant();
  }

  /** Its body is there, or the request is over. */
  void arrivedOrOver(Exchange exchange) {
    forget(exchange);
    grant();
  }

  private synchronized void forget(Exchange exchange) {
    waiting.remove(exchange);
    underWay.remove(exchange);
  }

  /** Refuses those that have waited for too long, and passes over bodies that do not come. */
  void tick(long nowMillis) {
    for (Exchange late : takeLate(nowMillis)) {
      late.refuse(new Refusal(new Verdict.NotRun(Verdict.Reason.OVERLOADED), RETRY_MILLIS));
    }
    dropStalled(nowMillis);
    grant();
  }

  private synchronized List<Exchange> takeLate(long nowMillis) {
    List<Exchange> late = new ArrayList<>();
    for (Map.Entry<Exchange, Long> each : waiting.entrySet()) {
      if (each.getValue() < nowMillis) {
        late.add(each.getKey());
      }
    }
    waiting.keySet().removeAll(late);
    return late;
  }

  private synchronized void dropStalled(long nowMillis) {
    underWay.replaceAll((exchange, before) -> progress(exchange, before, nowMillis));
    underWay.values().removeIf(each -> each.sinceMillis() + STALLED_MILLIS <= nowMillis);
  }

  private static Progress progress(Exchange exchange, Progress before, long nowMillis) {
    long receivedBytes = exchange.body().received();
    boolean isSame = before.receivedBytes() == receivedBytes;
    return isSame ? before : new Progress(receivedBytes, nowMillis);
  }

  /** Requests whose bodies wait for their turn. */
  synchronized int waiting() {
    return waiting.size();
  }

  private void grant() {
    for (Exchange next = takeNext(); next != null; next = takeNext()) {
      if (!isTaken.test(next)) {
        forget(next);
        next.refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      } else if (!next.continueBody()) {
        forget(next);
      }
    }
  }

  private synchronized Exchange takeNext() {
    Iterator<Exchange> first = waiting.keySet().iterator();
    if (!first.hasNext() || underWay.size() >= MAX_UNDER_WAY) {
      return null;
    }
    Exchange next = first.next();
    first.remove();
    underWay.put(next, NONE);
    return next;
  }
}
