package io.umberpath.node.proxy.http;

/** Names of the project's own HTTP headers; documented in docs/operations/verdicts.md. */
public final class ProxyHeaders {
  /** Every header with this prefix is removed from what callers and back ends send. */
  public static final String PREFIX = "Umberpath-";

  /** Answer: why a request was refused and whether it may have run. */
  public static final String VERDICT = "Umberpath-Verdict";

  /** Request: milliseconds until the caller gives up. */
  public static final String DEADLINE = "Umberpath-Deadline-Ms";

  /**
   * Request between nodes: milliseconds for which it may have lain unread at the nodes before. They
   * count towards its deadline, though its caller may have sent it later.
   */
  public static final String UNREAD = "Umberpath-Unread-Ms";

  /**
   * Request to a node or back end, echoed in a node's answer: names one attempt of one request. A
   * back end may echo it too; an answer that names another request is refused.
   */
  public static final String REQUEST_ID = "Umberpath-Request-Id";

  /** Request between nodes: number of the attempt, from 1. */
  public static final String ATTEMPT = "Umberpath-Attempt";

  /** Request between nodes: name of the route. */
  public static final String ROUTE = "Umberpath-Route";

  /** Request between nodes: tenant of the route. */
  public static final String TENANT = "Umberpath-Tenant";

  /** Request between nodes: tier of the route. */
  public static final String TIER = "Umberpath-Tier";

  /**
   * Refusal between nodes: milliseconds to leave the back end alone. {@code Retry-After} has whole
   * seconds, in which a back end of few slots would stand idle.
   */
  public static final String RETRY_AFTER_MILLIS = "Umberpath-Retry-After-Ms";

  /** Answer of a back end: it is leaving and takes no new work. */
  public static final String DRAINING = "Umberpath-Draining";

  /** A caller's name for its request, the same in each repeat. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private ProxyHeaders() {}

  /** Whether the name belongs to the project. */
  public static boolean isInternal(String name) {
    return name.regionMatches(true, 0, PREFIX, 0, PREFIX.length());
  }
}
