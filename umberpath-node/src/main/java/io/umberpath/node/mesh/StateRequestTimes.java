package io.umberpath.node.mesh;

import java.util.function.LongSupplier;

/** Measures the phases of a state request at the node that answers it. */
final class StateRequestTimes {
  private final LongSupplier clockMillis;
  private final long acceptedMillis;
  private long startedMillis;
  private long requestReadMillis;

  StateRequestTimes(LongSupplier clockMillis, long acceptedMillis) {
    this.clockMillis = clockMillis;
    this.acceptedMillis = acceptedMillis;
    this.startedMillis = acceptedMillis;
    this.requestReadMillis = acceptedMillis;
  }

  /** Records that this node begins to read the request. */
  void started() {
    startedMillis = clockMillis.getAsLong();
    requestReadMillis = startedMillis;
  }

  /** Records that the request was read. */
  void requestRead() {
    requestReadMillis = clockMillis.getAsLong();
  }

  /** From the acceptance of the connection until this node began to read, milliseconds. */
  long queuedMillis() {
    return startedMillis - acceptedMillis;
  }

  /** Until the request was read, milliseconds. */
  long requestMillis() {
    return requestReadMillis - startedMillis;
  }

  /** From the acceptance of the connection until now, milliseconds. */
  long totalMillis() {
    return clockMillis.getAsLong() - acceptedMillis;
  }
}
