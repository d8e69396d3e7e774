package io.umberpath.node.proxy.http;

/** Names of Umberpath's own HTTP headers; documented in docs/operations/verdicts.md. */
public final class ProxyHeaders {
  /** Headers with this prefix are removed from messages of clients and backends. */
  public static final String PREFIX = "Umberpath-";

  /** Response: why a request was rejected, and whether it may have been executed. */
  public static final String VERDICT = "Umberpath-Verdict";

  /** Request: milliseconds left until the client's deadline. */
  public static final String DEADLINE_MILLIS = "Umberpath-Deadline-Ms";

  /**
   * Request between nodes: milliseconds for which it may have waited unread at the previous nodes.
   * They count against its deadline, although the client may have sent it later.
   */
  public static final String UNREAD_MILLIS = "Umberpath-Unread-Ms";

  /**
   * Request to a node or backend, echoed in a node's response: identifies one attempt of one
   * request. A backend may echo it too; a response with the ID of another request is rejected.
   */
  public static final String REQUEST_ID = "Umberpath-Request-Id";

  /** Request between nodes: number of the attempt, starting at 1. */
  public static final String ATTEMPT = "Umberpath-Attempt";

  /** Request between nodes: name of the route. */
  public static final String ROUTE = "Umberpath-Route";

  /** Request between nodes: tenant of the route. */
  public static final String TENANT = "Umberpath-Tenant";

  /** Request between nodes: tier of the route. */
  public static final String TIER = "Umberpath-Tier";

  /**
   * Rejection between nodes: milliseconds to wait before sending to the backend again. {@code
   * Retry-After} only has whole seconds, and a backend with few slots would stay idle for that
   * long.
   */
  public static final String RETRY_AFTER_MILLIS = "Umberpath-Retry-After-Ms";

  /** Response of a backend: it is draining and accepts no new requests. */
  public static final String DRAINING = "Umberpath-Draining";

  /** Request: identifier chosen by the client, the same in each of its retries. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private ProxyHeaders() {}

  /** Whether the name is that of an Umberpath header. */
  public static boolean isInternal(String name) {
    return name.regionMatches(true, 0, PREFIX, 0, PREFIX.length());
  }
}
