package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.loop.Arrival;
import io.umberpath.node.proxy.loop.ReadAhead;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Where reading from a connection stands still: at the head of a request that may not begin yet, or
 * within a body of which no more can be taken. Its connection's lock guards it.
 */
final class SuspendedReads {
  private final Arrival arrival;
  private final ReadAhead ahead;
  private FilterChainContext head;
  private FilterChainContext body;

  /** The codec keeps bytes behind the message that it has handed on last. */
  private boolean hasUndecodedBytes;

  SuspendedReads(Connection<?> connection, Arrival arrival) {
    this.arrival = arrival;
    this.ahead = ReadAhead.accepted(connection, arrival);
  }

  /** Stands still at a head, which is seen again once it is resumed. */
  NextAction suspendAtHead(FilterChainContext context) {
    head = context;
    return suspend(context);
  }

  /** Stands still within a body. */
  NextAction suspendInBody(FilterChainContext context) {
    body = context;
    return suspend(context);
  }

  private NextAction suspend(FilterChainContext context) {
    arrival.readingStops();
    NextAction action = context.getSuspendAction();
    context.suspend();
    ahead.suspended(context);
    return action;
  }

  boolean isSuspendedAtHead() {
    return head != null;
  }

  /** Whether bytes behind what was suspended have been read and not been decoded. */
  boolean hasBufferedBytes() {
    return ahead.isHolding();
  }

  void keepsUndecoded(boolean isKept) {
    hasUndecodedBytes = isKept;
  }

  /** Whether something has been read behind the requests that have begun. */
  boolean hasInput() {
    return isSuspendedAtHead() || hasBufferedBytes();
  }

  /** The same within a run of the filter chain, which has more in hand and may be late. */
  boolean hasInputNow() {
    return isSuspendedAtHead() || hasUndecodedBytes || ahead.look();
  }

  /** What reads on from the head; does nothing if reading does not stand there. */
  Runnable takeHeadResumption() {
    FilterChainContext context = head;
    head = null;
    return context == null ? () -> {} : () -> resume(context::resume);
  }

  /** What reads on within the body; does nothing if reading does not stand there. */
  Runnable takeBodyResumption() {
    FilterChainContext waiting = body;
    return waiting == null ? () -> {} : takeBodyResumption(waiting);
  }

  /** The same if reading stands at this context, and nothing otherwise. */
  Runnable takeBodyResumption(FilterChainContext context) {
    if (body != context) {
      return () -> {};
    }
    body = null;
    return () -> resume(() -> context.resume(context.getStopAction()));
  }

  private void resume(Runnable resumption) {
    arrival.readingResumes();
    resumption.run();
  }
}
