package io.umberpath.node.mesh;

import io.umberpath.traffic.load.BackendSpeed;
import io.umberpath.traffic.load.BackendStatement;
import io.umberpath.traffic.routing.SlowdownDetector;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Speed of the local backend, from its own load reports and from measured durations. Thread-safe.
 */
final class LocalBackendSpeed {
  private final Function<String, Either<String, BackendStatement>> loadReportParser;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private BackendSpeed speed = new BackendSpeed();
  private boolean areReportsTrusted = true;
  private double slowdownByAge = 1;

  /**
   * Creates an estimate without data.
   *
   * @param loadReportParser parses a load report of the backend, or returns what is wrong with it
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
   * Records the load report of a response.
   *
   * @param text the backend's load report; null if the response has none
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
      speed.updateStatement(clockMillis.getAsLong(), report.get());
    }
  }

  /**
   * Records the duration of an answered request; returns what it would have been at the usual
   * speed.
   */
  synchronized long recordDuration(String route, long micros) {
    return speed.recordResponse(clockMillis.getAsLong(), route, micros);
  }

  /** Updates the estimate from the requests that are running. */
  synchronized void observeRunning(Collection<SlowdownDetector.Running> running) {
    slowdownByAge = SlowdownDetector.slowdownFactor(running);
    if (speed.isTrusted() != areReportsTrusted) {
      areReportsTrusted = speed.isTrusted();
      events.statementsBelieved(areReportsTrusted, speed.describeErrors());
    }
  }

  /** Discards all data after the backend has restarted. */
  synchronized void reset() {
    speed = new BackendSpeed();
    slowdownByAge = 1;
  }

  /** Returns the factor by which requests currently take longer than usual. */
  synchronized double slowdown() {
    return speed.slowdown(clockMillis.getAsLong(), slowdownByAge);
  }
}
