package io.umberpath.lab.backend;

import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/** Closes connections beyond a cap at once and knows which are fresh. Thread-safe. */
@SuppressWarnings("rawtypes") // Grizzly's probes take raw connections.
final class ConnectionCap extends ConnectionProbe.Adapter {
  private static final Attribute<Boolean> COUNTED =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.lab.counted");
  private static final Attribute<Boolean> USED =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.lab.used");

  private final int cap;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();

  ConnectionCap(int cap) {
    this.cap = cap;
  }

  @Override
  public void onAcceptEvent(Connection serverConnection, Connection connection) {
    if (open.incrementAndGet() > cap) {
      open.decrementAndGet();
      refused.incrementAndGet();
      connection.terminateSilently();
      return;
    }
    COUNTED.set(connection, true);
  }

  @Override
  public void onCloseEvent(Connection connection) {
    if (COUNTED.remove(connection) != null) {
      open.decrementAndGet();
    }
  }

  /** Marks the connection as used; true if this was its first use. */
  boolean isFirstUse(Connection<?> connection) {
    boolean first = USED.get(connection) == null;
    USED.set(connection, true);
    return first;
  }

  int open() {
    return open.get();
  }

  int refused() {
    return refused.get();
  }
}
