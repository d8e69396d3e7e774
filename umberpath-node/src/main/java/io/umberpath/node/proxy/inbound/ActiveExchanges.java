package io.umberpath.node.proxy.inbound;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;

/** The exchanges of a proxy that are in flight. Thread-safe. */
public final class ActiveExchanges {
  private final Set<Exchange> exchanges = ConcurrentHashMap.newKeySet();
  private final LongAdder arrivals = new LongAdder();

  void add(Exchange exchange) {
    arrivals.increment();
    exchanges.add(exchange);
  }

  void remove(Exchange exchange) {
    exchanges.remove(exchange);
    if (exchanges.isEmpty()) {
      synchronized (this) {
        notifyAll();
      }
    }
  }

  /** Number of exchanges begun so far. */
  public long arrivals() {
    return arrivals.sum();
  }

  /** Number of exchanges in flight. */
  public int size() {
    return exchanges.size();
  }

  /** Plans of the exchanges in flight, except those that have not been planned yet. */
  public Stream<RequestPlan> plans() {
    return exchanges.stream().map(Exchange::plan).filter(Objects::nonNull);
  }

  /** Fails the exchanges whose deadline has passed. */
  public void expire(long nowMillis) {
    for (Exchange exchange : exchanges) {
      ExchangeTimeouts.checkDeadline(exchange, nowMillis, false);
    }
  }

  /** Fails the exchanges whose deadline has passed and of which nothing has reached an origin. */
  public void expireUnsent(long nowMillis) {
    for (Exchange exchange : exchanges) {
      ExchangeTimeouts.checkDeadline(exchange, nowMillis, true);
    }
  }

  /**
   * Waits until no exchange is in flight.
   *
   * @return false if the timeout expired first
   */
  public synchronized boolean awaitNone(long timeoutMillis) throws InterruptedException {
    long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
    while (!exchanges.isEmpty()) {
      long remainingMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (remainingMillis <= 0) {
        return false;
      }
      wait(remainingMillis);
    }
    return true;
  }

  /**
   * Fails and logs every exchange whose response is not being sent.
   *
   * @return how many may have run; the others are refused as not run
   */
  public int abortAll() {
    int mayHaveRun = 0;
    for (Exchange exchange : exchanges) {
      mayHaveRun += ExchangeTimeouts.abortAtDrainTimeout(exchange) ? 1 : 0;
    }
    return mayHaveRun;
  }
}
