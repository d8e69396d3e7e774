package io.umberpath.node.proxy.inbound;

import java.util.Optional;
import java.util.Set;

/**
 * What is decided about a request when its head has arrived, from one snapshot, and holds until its
 * end. Each handler has its own kind of plan.
 */
public interface RequestPlan {
  /** Names the request between nodes and in logs. */
  String requestId();

  /** Name of its route. */
  String route();

  /** When its caller gives up at the earliest, on the proxy's clock, milliseconds. */
  long deadlineMillis();

  /** For how long it may have lain unread at the nodes before this one, milliseconds. */
  default long unreadBeforeMillis() {
    return 0;
  }

  /** Whether the origin is asked before a long body is sent to it. */
  default boolean asksBeforeBody() {
    return false;
  }

  /** Value of the Authorization header to send in place of the caller's, if any. */
  default Optional<String> authorization() {
    return Optional.empty();
  }

  /** Names of headers that are not copied from the caller's request; compared without case. */
  default Set<String> replacedHeaders() {
    return Set.of();
  }
}
