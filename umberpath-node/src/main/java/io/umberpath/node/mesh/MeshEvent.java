package io.umberpath.node.mesh;

import java.util.Locale;

/**
 * Kinds of log events; {@code docs/OPERATIONS.md} explains each. The number is the most lines per
 * second.
 */
public enum MeshEvent {
  /** The clock used for ages and deadlines was selected. */
  CLOCK_OPENED(10),
  /** The process was suspended or not scheduled for a while. */
  NODE_PAUSED(5),
  /** Received data was read late because the event loop thread was busy. */
  READING_LATE(10),
  /** The longest time that a change takes by design to reach the last node. */
  CHANGE_BUDGET(10),
  /** The process accepts requests. */
  NODE_STARTED(10),
  /** The process was asked to stop. */
  NODE_STOPPING(10),
  /** The process exits. */
  NODE_STOPPED(10),
  /** The settings were reloaded. */
  SETTINGS_RELOADED(10),
  /** Changed settings were rejected; the previous ones stay in force. */
  SETTINGS_REFUSED(10),
  /** The store does not respond. */
  STORE_LOST(10),
  /** The store responds again. */
  STORE_REGAINED(10),
  /** The store no longer has the changes that this node asked for. */
  STORE_HISTORY_GONE(5),
  /** A response of the store could not be read to the end; its items are read by pages. */
  STORE_RESPONSE_UNREADABLE(5),
  /** A full read of the store is older than this node's state, and is ignored. */
  STORE_READ_DROPPED(5),
  /**
   * The store was restored from an older copy, or the entries kept because of that have been
   * released.
   */
  STORE_ERA(5),
  /** The store has an older configuration than the accepted one, which stays in force. */
  CONFIGURATION_OLDER(5),
  /** A newer configuration is in force. */
  CONFIGURATION_TAKEN(20),
  /** A configuration was rejected as a whole; the previous one stays in force. */
  CONFIGURATION_REFUSED(10),
  /** A backend accepts work. */
  BACKEND_ADDED(50),
  /** A backend accepts no new work. */
  BACKEND_DRAINING(50),
  /** A backend is no longer listed. */
  BACKEND_GONE(50),
  /** A backend was restarted under the same id. */
  BACKEND_RESTARTED(50),
  /** A zone's evacuation begins or ends: its backends are to get no new work, or get it again. */
  ZONE_EVACUATION(10),
  /** A backend with an expired entry is known to be alive, or no longer is. */
  BACKEND_ATTESTED(10),
  /** A backend's entry cannot be parsed. */
  BACKEND_REFUSED(10),
  /** The load report of the local backend cannot be parsed. */
  STATEMENT_REFUSED(2),
  /** What the local backend announces about the requests that it accepts has changed. */
  BACKEND_NOTICE(10),
  /** The speed reported by the local backend is now trusted, or no longer. */
  STATEMENTS_BELIEVED(2),
  /** No report of another node was received for too long. */
  PEER_SILENT(20),
  /** Reports of a silent node are received again. */
  PEER_HEARD(20),
  /** A datagram is not a valid message between nodes. */
  REPORT_REFUSED(5),
  /** A report could not be sent. */
  REPORT_UNSENT(5),
  /** Newer changes were adopted from another node. */
  STATE_ADOPTED(20),
  /** Newer changes could not be fetched from another node. */
  STATE_PULL_FAILED(10),
  /** A state request of another node took long at this one. */
  STATE_REQUEST_SLOW(10),
  /** Connections for state requests cannot be accepted for a moment. */
  STATE_ACCEPT_FAILED(2),
  /** This node starts to read the store for its zone, or leaves that to others. */
  STORE_READER(10),
  /** A client's request ended without a response of a backend. */
  REQUEST_FAILED(40),
  /** Responses of a route are too long to be held while requests behind them run. */
  LONG_RESPONSES(5),
  /** A connection ended while requests read from it were unanswered. */
  CONNECTION_ENDED(40),
  /** A client's request was answered; only a sample is logged. */
  REQUEST_SERVED(2),
  /** How the requests of a route ended in the last second. */
  ROUTE_SUMMARY(40),
  /** An attempt failed; the line tells whether it is retried. */
  ATTEMPT_FAILED(40),
  /** The backend's node refused a request as not run. */
  GATE_REFUSED(40),
  /** The body of a large request from another node was received; only a sample is logged. */
  UPLOAD_RECEIVED(5),
  /** A request of another node lacks a mandatory header. */
  GATE_HEAD_REFUSED(5),
  /** The local backend failed a request that may have run. */
  GATE_FAILED(40),
  /** The local backend crashed while running a request; one line per request. */
  BACKEND_ENDED(20),
  /** Many responses of the local backend fail, or no longer do. */
  BACKEND_FAILING(5),
  /** This node sends a ready backend fewer requests or none, or no longer does. */
  BACKEND_LEFT_OUT(10),
  /** A request is quarantined: it is kept from all backends. */
  REQUEST_HELD(20),
  /** A request is no longer quarantined. */
  REQUEST_CLEARED(20),
  /** A quarantined request is sent to a backend as a trial. */
  REQUEST_TRIED(5),
  /** Log lines of another kind were dropped. */
  LINES_DROPPED(5),
  /** An internal error of the program. */
  FAULT(10);

  private final int linesPerSecond;
  private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

  MeshEvent(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Returns the most lines of this kind per second. */
  public int linesPerSecond() {
    return linesPerSecond;
  }

  /** Returns the name in log lines. */
  public String label() {
    return label;
  }
}
