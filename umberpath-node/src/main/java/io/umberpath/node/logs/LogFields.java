package io.umberpath.node.logs;

import com.google.common.flogger.MetadataKey;

/**
 * Fields of a log line besides time, level, logger and message. Names and meanings are stable; the
 * list of events is in {@code docs/operations/logs-and-metrics.md}.
 */
public final class LogFields {
  /** Stable event name: lower-case words joined by {@code -}. */
  public static final MetadataKey<String> EVENT = MetadataKey.single("event", String.class);

  /** Tenant of the event. */
  public static final MetadataKey<String> TENANT = MetadataKey.single("tenant", String.class);

  /** Request id of a configuration change. */
  public static final MetadataKey<String> REQUEST_ID =
      MetadataKey.single("request_id", String.class);

  /** Configuration version, {@code epoch.sequence}. */
  public static final MetadataKey<String> VERSION = MetadataKey.single("version", String.class);

  /** Whether a failed operation may have run. */
  public static final MetadataKey<String> OUTCOME = MetadataKey.single("outcome", String.class);

  /** Address or port of the event. */
  public static final MetadataKey<String> ADDRESS = MetadataKey.single("address", String.class);

  /** Port for clients; -1 if disabled. */
  public static final MetadataKey<Integer> EDGE_PORT =
      MetadataKey.single("edge_port", Integer.class);

  /** Port for requests from other nodes; -1 if disabled. */
  public static final MetadataKey<Integer> HOP_PORT = MetadataKey.single("hop_port", Integer.class);

  /** Operators' gRPC port. */
  public static final MetadataKey<Integer> OPERATOR_PORT =
      MetadataKey.single("operator_port", Integer.class);

  /** Admin port. */
  public static final MetadataKey<Integer> ADMIN_PORT =
      MetadataKey.single("admin_port", Integer.class);

  private LogFields() {}
}
