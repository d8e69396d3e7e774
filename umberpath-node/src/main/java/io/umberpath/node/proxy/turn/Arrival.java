package io.umberpath.node.proxy.turn;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;

/**
 * When what was last read from a connection can have arrived at the earliest, on {@link
 * System#nanoTime}: in the turn in which it was read, or while nothing was read from the
 * connection. Thread-safe.
 */
public final class Arrival {
  private static final Attribute<Arrival> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.arrival");

  private long earliestNanos = SelectorTurns.earliestArrivalNanos();
  private long unreadSinceNanos = earliestNanos;
  private long readableSinceNanos = System.nanoTime();

  private Arrival() {}

  /** Begins with a connection that is accepted in the present turn. */
  public static Arrival accepted(Connection<?> connection) {
    Arrival arrival = new Arrival();
    ATTRIBUTE.set(connection, arrival);
    return arrival;
  }

  /** Notes that something has been read from the connection, if its arrivals are kept. */
  public static void noteRead(Connection<?> connection) {
    Arrival arrival = ATTRIBUTE.get(connection);
    if (arrival != null) {
      arrival.read();
    }
  }

  private synchronized void read() {
    // Later selections would have shown before what had arrived before.
    boolean isFirstSelection = readableSinceNanos - SelectorTurns.lastSelectedNanos() >= 0;
    earliestNanos = isFirstSelection ? unreadSinceNanos : SelectorTurns.earliestArrivalNanos();
  }

  /** Nothing more is read for a while. */
  public synchronized void readingStops() {
    // Nothing can have been read since reading was resumed in this turn.
    boolean isStillUnread = readableSinceNanos - SelectorTurns.selectedNanos() >= 0;
    if (!isStillUnread) {
      unreadSinceNanos = SelectorTurns.earliestArrivalNanos();
    }
  }

  /** What arrives is read again. */
  public synchronized void readingResumes() {
    readableSinceNanos = System.nanoTime();
  }

  /** The earliest moment at which what was last read can have arrived. */
  public synchronized long earliestNanos() {
    return earliestNanos;
  }
}
