package io.umberpath.node.mesh;

import io.umberpath.traffic.load.BackendSpeed;
import io.umberpath.traffic.load.BackendStatement;
import io.umberpath.traffic.routing.Slowness;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** How fast the back end beside this node is, as it says and as is seen. Thread-safe. */
final class LocalBackendSpeed {
  private final Function<String, Either<String, BackendStatement>> loadReportParser;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private BackendSpeed speed = new BackendSpeed();
  private boolean areReportsTrusted = true;
  private double slownessByAge = 1;

  /**
   * Creates one that knows nothing.
   *
   * @param statements reads what the back end says of itself, or tells what is wrong with it
   */
  LocalBackendSpeed(
      Function<String, Either<String, BackendStatement>> loadReportParser,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.loadReportParser = loadReportParser;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /**
   * An answer has come.
   *
   * @param text what the back end says of itself; null if it says nothing
   */
  void recordLoadReport(String text) {
    if (text == null) {
      return;
    }
    Either<String, BackendStatement> report = loadReportParser.apply(text);
    if (report.isLeft()) {
      events.statementRefused(report.getLeft());
      return;
    }
    synchronized (this) {
      speed.stated(clockMillis.getAsLong(), report.get());
    }
  }

  /** How long a request that has just been answered would have run at the usual speed. */
  synchronized long recordDuration(String route, long micros) {
    return speed.answered(clockMillis.getAsLong(), route, micros);
  }

  /** Looks at what runs there. */
  synchronized void observeRunning(Collection<Slowness.Running> running) {
    slownessByAge = Slowness.of(running);
    if (speed.isBelieved() != areReportsTrusted) {
      areReportsTrusted = speed.isBelieved();
      events.statementsBelieved(areReportsTrusted, speed.errors());
    }
  }

  /** Another start is there, of which nothing is known. */
  synchronized void reset() {
    speed = new BackendSpeed();
    slownessByAge = 1;
  }

  /** The factor by which work takes longer now than usual. */
  synchronized double slowness() {
    return speed.slowness(clockMillis.getAsLong(), slownessByAge);
  }
}
