package io.umberpath.node.mesh;

import com.google.common.flogger.MetadataKey;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.node.logs.LogFields;
import java.io.IOException;

/**
 * Writes the log lines of state transfers, at the node that requests and at the one that serves.
 */
final class TransferEvents {
  private static final MetadataKey<String> PHASE = MetadataKey.single("phase", String.class);
  private static final MetadataKey<Long> BEHIND = MetadataKey.single("behindMillis", Long.class);
  private static final MetadataKey<Long> CONNECT = MetadataKey.single("connectMillis", Long.class);
  private static final MetadataKey<Long> RESPONSE = MetadataKey.single("answerMillis", Long.class);
  private static final MetadataKey<Long> READ = MetadataKey.single("readMillis", Long.class);
  private static final MetadataKey<Long> APPLY = MetadataKey.single("takeMillis", Long.class);
  private static final MetadataKey<Long> REQUEST = MetadataKey.single("requestMillis", Long.class);
  private static final MetadataKey<Long> ENCODE = MetadataKey.single("encodeMillis", Long.class);

  private final MeshEvents events;

  TransferEvents(MeshEvents events) {
    this.events = events;
  }

  /**
   * Logs a transfer that failed.
   *
   * @param times of the transfer, which tell its phase
   */
  void pullFailed(String peer, IOException failure, TransferTimes.Stopwatch times) {
    events
        .line(MeshEvent.STATE_PULL_FAILED)
        .with(LogFields.ADDRESS, peer)
        .with(MeshEvents.MILLIS, times.elapsedMillis())
        .with(PHASE, MeshEvents.label(times.phase()))
        .with(MeshEvents.CAUSE, String.valueOf(failure.getMessage()))
        .log("trying another node");
  }

  /** Logs that newer state of another node was adopted. */
  void adopted(String peer, long version, StateTransfer transfer, TransferTimes times) {
    StoreChanges changes = transfer.changes();
    events
        .line(MeshEvent.STATE_ADOPTED)
        .with(LogFields.ADDRESS, peer)
        .with(MeshEvents.CONFIGURATION, version)
        .with(MeshEvents.POSITION, changes.position().toString())
        .with(BEHIND, times.behindMillis())
        .with(CONNECT, times.connectMillis())
        .with(RESPONSE, times.responseMillis())
        .with(READ, times.readMillis())
        .with(APPLY, times.adoptMillis())
        .log(
            "%s: %d items, %d patches; facts: %d configurations, %d departures",
            changes.isWhole() ? "whole state" : "changes",
            changes.items().size(),
            changes.patches().size(),
            transfer.facts().configuration().isPresent() ? 1 : 0,
            transfer.facts().departed().size());
  }

  /**
   * Logs that a state request of another node took long at this one.
   *
   * @param outcome "served", or why the connection ended without an answer
   * @param connections number of other open connections of such requests
   */
  void requestSlow(StateConnection connection, String outcome, int connections) {
    events
        .line(MeshEvent.STATE_REQUEST_SLOW)
        .with(LogFields.ADDRESS, connection.clientHost())
        .with(LogFields.OUTCOME, outcome)
        .with(REQUEST, connection.requestMillis())
        .with(ENCODE, connection.encodeMillis())
        .with(MeshEvents.MILLIS, connection.ageMillis())
        .with(MeshEvents.COUNT, (long) connections)
        .log("other connections of state requests open");
  }

  /** Logs that this node cannot accept connections of state requests for a moment. */
  void acceptFailed(IOException failure, int connections) {
    events
        .line(MeshEvent.STATE_ACCEPT_FAILED)
        .with(MeshEvents.CAUSE, String.valueOf(failure.getMessage()))
        .with(MeshEvents.COUNT, (long) connections)
        .log("connections of state requests open");
  }
}
