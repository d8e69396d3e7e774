package io.umberpath.node.mesh;

import java.util.Locale;

/** Kinds of log lines; {@code docs/OPERATIONS.md} explains each. */
public enum MeshEvent {
  /** Which clock ages and deadlines are on. */
  CLOCK_OPENED(10),
  /** The process did not run for a while. */
  NODE_PAUSED(5),
  /** What had arrived was read late, since the thread that reads was busy. */
  READING_LATE(10),
  /** How long a change takes to the last node at most, by design. */
  CHANGE_BUDGET(10),
  /** The process takes requests. */
  NODE_STARTED(10),
  /** The process was told to stop. */
  NODE_STOPPING(10),
  /** The process ends. */
  NODE_STOPPED(10),
  /** The settings were read again. */
  SETTINGS_RELOADED(10),
  /** Changed settings were refused; the old ones hold. */
  SETTINGS_REFUSED(10),
  /** The store does not answer. */
  STORE_LOST(10),
  /** The store answers again. */
  STORE_REGAINED(10),
  /** The store does not have the changes that this node asked for. */
  STORE_HISTORY_GONE(5),
  /** A whole read of the store is behind what this node holds, and is not taken. */
  STORE_READ_DROPPED(5),
  /** The store has come back from an older copy; or what was kept over that goes. */
  STORE_ERA(5),
  /** The store shows an older configuration than the accepted one, which stays in force. */
  CONFIGURATION_OLDER(5),
  /** A newer configuration is in force. */
  CONFIGURATION_TAKEN(20),
  /** A configuration was refused whole; the old one holds. */
  CONFIGURATION_REFUSED(10),
  /** A back end takes work. */
  BACKEND_ADDED(50),
  /** A back end takes no new work. */
  BACKEND_DRAINING(50),
  /** A back end is no longer listed. */
  BACKEND_GONE(50),
  /** A back end has started again under its id. */
  BACKEND_RESTARTED(50),
  /** A zone's back ends are to get no new work, or get it again. */
  ZONE_EVACUATION(10),
  /** A back end lives although its entry has lapsed, or is no longer known to. */
  BACKEND_ATTESTED(10),
  /** A back end's entry cannot be read. */
  BACKEND_REFUSED(10),
  /** What the back end beside this node says of its load cannot be read. */
  STATEMENT_REFUSED(2),
  /** What the back end beside this node says of its speed is believed, or no longer. */
  STATEMENTS_BELIEVED(2),
  /** Another node has not been heard of for too long. */
  PEER_SILENT(20),
  /** A silent node is heard again. */
  PEER_HEARD(20),
  /** A datagram is no message between nodes. */
  REPORT_REFUSED(5),
  /** A report could not be sent. */
  REPORT_UNSENT(5),
  /** Newer changes were taken from another node. */
  STATE_ADOPTED(20),
  /** Newer changes could not be taken from another node. */
  STATE_PULL_FAILED(10),
  /** This node begins to call the store for its zone, or leaves it to others. */
  STORE_READER(10),
  /** A request of a caller ended without an answer of a back end. */
  REQUEST_FAILED(40),
  /** A connection ended with requests unanswered that had been read from it. */
  CONNECTION_ENDED(40),
  /** A request of a caller was answered; a sample. */
  REQUEST_SERVED(2),
  /** An attempt failed, and whether another follows. */
  ATTEMPT_FAILED(40),
  /** The node beside the back end refused a request as not run. */
  GATE_REFUSED(40),
  /** A request of another node lacks what such requests carry. */
  GATE_HEAD_REFUSED(5),
  /** The back end beside this node failed a request that may have run. */
  GATE_FAILED(40),
  /** The back end beside this node ended while it ran a request; a line for each. */
  BACKEND_ENDED(20),
  /** Many answers of the back end beside this node fail, or no longer. */
  BACKEND_FAILING(5),
  /** A request is kept from all back ends. */
  REQUEST_HELD(20),
  /** A request is no longer kept from back ends. */
  REQUEST_CLEARED(20),
  /** A request that is held is sent to a back end once more. */
  REQUEST_TRIED(5),
  /** Lines of other kinds were dropped. */
  LINES_DROPPED(5),
  /** A fault in the program itself. */
  FAULT(10);

  private final int linesPerSecond;
  private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

  MeshEvent(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Most lines of this kind in a second. */
  public int linesPerSecond() {
    return linesPerSecond;
  }

  /** Name in log lines. */
  public String label() {
    return label;
  }
}
