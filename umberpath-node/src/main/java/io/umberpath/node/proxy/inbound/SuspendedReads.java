package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.loop.ArrivalTime;
import io.umberpath.node.proxy.loop.ReadAhead;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Tracks where reading from a connection is suspended: at the head of a request that may not begin
 * yet, or within a body of which no more can be taken. Guarded by the connection's lock.
 */
final class SuspendedReads {
  private final ArrivalTime arrivalTime;
  private final ReadAhead readAhead;
  private FilterChainContext head;
  private FilterChainContext body;

  /** Whether the codec holds bytes behind the message that it decoded last. */
  private boolean hasUndecodedBytes;

  SuspendedReads(Connection<?> connection, ArrivalTime arrivalTime) {
    this.arrivalTime = arrivalTime;
    this.readAhead = ReadAhead.attachTo(connection, arrivalTime);
  }

  /** Suspends reading at a head, which is passed in again when reading resumes. */
  NextAction suspendAtHead(FilterChainContext context) {
    head = context;
    return suspend(context);
  }

  /** Suspends reading within a body. */
  NextAction suspendInBody(FilterChainContext context) {
    body = context;
    return suspend(context);
  }

  private NextAction suspend(FilterChainContext context) {
    arrivalTime.onReadingSuspended();
    NextAction action = context.getSuspendAction();
    context.suspend();
    readAhead.onSuspended(context);
    return action;
  }

  boolean isSuspendedAtHead() {
    return head != null;
  }

  /** Whether bytes behind the suspended message have been read but not decoded. */
  boolean hasBufferedBytes() {
    return readAhead.hasBufferedBytes();
  }

  void setHasUndecodedBytes(boolean newValue) {
    hasUndecodedBytes = newValue;
  }

  /** Whether input has been read behind the requests that have begun. */
  boolean hasInput() {
    return isSuspendedAtHead() || hasBufferedBytes();
  }

  /**
   * Like {@link #hasInput}, but during a run of the filter chain: includes the codec's undecoded
   * bytes and reads from the socket, since the thread may be late.
   */
  boolean hasInputNow() {
    return isSuspendedAtHead() || hasUndecodedBytes || readAhead.readNow();
  }

  /**
   * Returns an action that resumes reading at the head; a no-op if reading is not suspended there.
   */
  Runnable takeHeadResumption() {
    FilterChainContext context = head;
    head = null;
    return context == null ? () -> {} : () -> resume(context::resume);
  }

  /**
   * Returns an action that resumes reading within the body; a no-op if reading is not suspended
   * there.
   */
  Runnable takeBodyResumption() {
    FilterChainContext waiting = body;
    return waiting == null ? () -> {} : takeBodyResumption(waiting);
  }

  /**
   * Like {@link #takeBodyResumption()}, but a no-op unless reading is suspended with this context.
   */
  Runnable takeBodyResumption(FilterChainContext context) {
    if (body != context) {
      return () -> {};
    }
    body = null;
    return () -> resume(() -> context.resume(context.getStopAction()));
  }

  private void resume(Runnable resumption) {
    arrivalTime.onReadingResumed();
    resumption.run();
  }
}
