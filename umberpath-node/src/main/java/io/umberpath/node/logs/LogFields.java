package io.umberpath.node.logs;

import com.google.common.flogger.MetadataKey;

/**
 * Fields of a log line besides time, level, logger and message. Names and meaning are stable; the
 * list of events is in {@code docs/operations/logs-and-metrics.md}.
 */
public final class LogFields {
  /** Stable event name in lower-case words joined by {@code -}. */
  public static final MetadataKey<String> EVENT = MetadataKey.single("event", String.class);

  /** The tenant an event concerns. */
  public static final MetadataKey<String> TENANT = MetadataKey.single("tenant", String.class);

  /** Request id of an operator's change. */
  public static final MetadataKey<String> REQUEST_ID =
      MetadataKey.single("request_id", String.class);

  /** Version of the agreed state, {@code epoch.sequence}. */
  public static final MetadataKey<String> VERSION = MetadataKey.single("version", String.class);

  /** Whether something that failed may have run. */
  public static final MetadataKey<String> OUTCOME = MetadataKey.single("outcome", String.class);

  /** Address or port that an event concerns. */
  public static final MetadataKey<String> ADDRESS = MetadataKey.single("address", String.class);

  /** Callers' port; -1 for none. */
  public static final MetadataKey<Integer> EDGE_PORT =
      MetadataKey.single("edge_port", Integer.class);

  /** Port for calls from other nodes; -1 for none. */
  public static final MetadataKey<Integer> HOP_PORT = MetadataKey.single("hop_port", Integer.class);

  /** Operators' gRPC port. */
  public static final MetadataKey<Integer> OPERATOR_PORT =
      MetadataKey.single("operator_port", Integer.class);

  /** Admin port. */
  public static final MetadataKey<Integer> ADMIN_PORT =
      MetadataKey.single("admin_port", Integer.class);

  private LogFields() {}
}
