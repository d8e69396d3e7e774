package io.umberpath.node.proxy.inbound;

import java.util.Optional;
import java.util.Set;

/**
 * The decisions about a request, made from its head and one configuration snapshot, and valid until
 * it ends. Each handler has its own implementation.
 */
public interface RequestPlan {
  /** Identifies the request between nodes and in logs. */
  String requestId();

  /** Name of the route. */
  String route();

  /** The earliest possible deadline of the client, on the proxy's clock, milliseconds. */
  long deadlineMillis();

  /** How long the request may have been waiting unread at earlier nodes, milliseconds. */
  default long unreadBeforeMillis() {
    return 0;
  }

  /** Whether a long body is sent only after the origin's 100 (Continue). */
  default boolean awaitsContinueBeforeBody() {
    return false;
  }

  /** Value of the Authorization header that replaces the client's, if any. */
  default Optional<String> authorization() {
    return Optional.empty();
  }

  /** Names of headers that are not copied from the client's request, case-insensitive. */
  default Set<String> replacedHeaders() {
    return Set.of();
  }
}
