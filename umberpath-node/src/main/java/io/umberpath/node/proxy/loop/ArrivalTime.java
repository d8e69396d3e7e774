package io.umberpath.node.proxy.loop;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;

/**
 * When what was last read from a connection can have arrived at the earliest, on {@link
 * System#nanoTime}: in the iteration in which it was read, or while nothing was read from the
 * connection. Thread-safe.
 */
public final class ArrivalTime {
  private static final Attribute<ArrivalTime> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.arrival");

  private long earliestNanos = EventLoop.earliestArrivalNanos();
  private long unreadSinceNanos = earliestNanos;
  private long readableSinceNanos = System.nanoTime();

  private ArrivalTime() {}

  /** Begins with a connection that is accepted in the present iteration. */
  public static ArrivalTime attachTo(Connection<?> connection) {
    ArrivalTime arrivalTime = new ArrivalTime();
    ATTRIBUTE.set(connection, arrivalTime);
    return arrivalTime;
  }

  /** Notes that something has been read from the connection, if its arrivals are kept. */
  public static void noteRead(Connection<?> connection) {
    ArrivalTime arrivalTime = ATTRIBUTE.get(connection);
    if (arrivalTime != null) {
      arrivalTime.onRead();
    }
  }

  private synchronized void onRead() {
    // Later selections would have shown before what had arrived before.
    boolean isFirstSelection = readableSinceNanos - EventLoop.lastSelectedNanos() >= 0;
    earliestNanos = isFirstSelection ? unreadSinceNanos : EventLoop.earliestArrivalNanos();
  }

  /** The filter chain takes what was read ahead while nothing else was. */
  synchronized void onReadAheadTaken() {
    earliestNanos = unreadSinceNanos;
    // What is left in the socket may have arrived as early.
    readableSinceNanos = System.nanoTime();
  }

  /** Nothing more is read for a while. */
  public synchronized void onReadingSuspended() {
    // Nothing can have been read since reading was resumed in this iteration.
    boolean isStillUnread = readableSinceNanos - EventLoop.selectedNanos() >= 0;
    if (!isStillUnread) {
      unreadSinceNanos = EventLoop.earliestArrivalNanos();
    }
  }

  /** What arrives is read again. */
  public synchronized void onReadingResumed() {
    readableSinceNanos = System.nanoTime();
  }

  /** The earliest moment at which what was last read can have arrived. */
  public synchronized long earliestNanos() {
    return earliestNanos;
  }
}
