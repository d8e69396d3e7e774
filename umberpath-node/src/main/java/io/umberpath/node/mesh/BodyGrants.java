package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Refusal;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.glassfish.grizzly.http.util.Header;

/**
 * Lets other nodes send long bodies a few at a time, in the order in which they asked. All at once
 * they would stand in front of every small request at a narrow link. Thread-safe.
 */
final class BodyGrants {
  /** Bodies that may be under way at a time: while one ends, the next begins to come. */
  private static final int MAX_UNDER_WAY = 2;

  private static final long RETRY_MILLIS = 100;

  private final Map<Exchange, Long> waiting = new LinkedHashMap<>();
  private final Set<Exchange> underWay = new HashSet<>();

  /**
   * Has the sender wait for its turn, if it waits to be told to send the body.
   *
   * @param startByMillis when the request is refused if its body has not begun to come
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
  void ended(Exchange exchange) {
    forget(exchange);
    grant();
  }

  private synchronized void forget(Exchange exchange) {
    waiting.remove(exchange);
    underWay.remove(exchange);
  }

  /** Refuses those that have waited for too long. */
  void tick(long nowMillis) {
    for (Exchange late : takeLate(nowMillis)) {
      late.refuse(new Refusal(new Verdict.NotRun(Verdict.Reason.OVERLOADED), RETRY_MILLIS));
    }
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

  /** Requests whose bodies wait for their turn. */
  synchronized int waiting() {
    return waiting.size();
  }

  private void grant() {
    for (Exchange next = takeNext(); next != null; next = takeNext()) {
      if (!next.continueBody()) {
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
    underWay.add(next);
    return next;
  }
}
