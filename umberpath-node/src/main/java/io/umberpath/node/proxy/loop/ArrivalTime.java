package io.umberpath.node.proxy.loop;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;

/**
 * The earliest time at which the last bytes read from a connection can have arrived, on {@link
 * System#nanoTime}: during the event loop iteration in which they were read, or, if reading was
 * suspended before, since the suspension. Thread-safe.
 */
public final class ArrivalTime {
  private static final Attribute<ArrivalTime> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.arrival");

  private long earliestNanos = EventLoop.earliestArrivalNanos();
  private long unreadSinceNanos = earliestNanos;
  private long readableSinceNanos = System.nanoTime();

  private ArrivalTime() {}

  /** Creates the arrival time of a connection that is accepted in the current iteration. */
  public static ArrivalTime attachTo(Connection<?> connection) {
    ArrivalTime arrivalTime = new ArrivalTime();
    ATTRIBUTE.set(connection, arrivalTime);
    return arrivalTime;
  }

  /** Records a read from the connection, if its arrival time is tracked. */
  public static void noteRead(Connection<?> connection) {
    ArrivalTime arrivalTime = ATTRIBUTE.get(connection);
    if (arrivalTime != null) {
      arrivalTime.onRead();
    }
  }

  private synchronized void onRead() {
    // A selection after reading resumed, and before this one, would have reported bytes that
    // arrived earlier.
    boolean isFirstSelection = readableSinceNanos - EventLoop.lastSelectedNanos() >= 0;
    earliestNanos = isFirstSelection ? unreadSinceNanos : EventLoop.earliestArrivalNanos();
  }

  /** Called when the filter chain takes bytes that were read ahead. */
  synchronized void onReadAheadTaken() {
    earliestNanos = unreadSinceNanos;
    // Bytes left in the socket may have arrived as early.
    readableSinceNanos = System.nanoTime();
  }

  /** Called when reading is suspended. */
  public synchronized void onReadingSuspended() {
    // If reading was resumed in this iteration, nothing can have been read since.
    boolean isStillUnread = readableSinceNanos - EventLoop.selectedNanos() >= 0;
    if (!isStillUnread) {
      unreadSinceNanos = EventLoop.earliestArrivalNanos();
    }
  }

  /** Called when reading is resumed. */
  public synchronized void onReadingResumed() {
    readableSinceNanos = System.nanoTime();
  }

  /** The earliest time at which the last bytes read can have arrived. */
  public synchronized long earliestNanos() {
    return earliestNanos;
  }
}
