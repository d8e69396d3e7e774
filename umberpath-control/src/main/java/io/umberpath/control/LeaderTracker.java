package io.umberpath.control;

import io.umberpath.control.ControlMessage.Deliver;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.model.PeerAddress;
import java.util.List;
import java.util.Optional;

/**
 * Tracks the newest heartbeat round. A round delivered along the relay tree shows that this node is
 * connected to the leader; a round that a leader announced directly only shows that the leader
 * exists.
 */
final class LeaderTracker {
  private final NodeContext context;
  private Round round = Round.NONE;
  private long heardAt;
  private PeerAddress leader;
  private Round deliveredRound = Round.NONE;
  private PeerAddress deliveredLeader;
  private int deliveredLeaderSlot;
  private List<Integer> readers = List.of();
  private long deliveredAt;
  private long steadySince;

  LeaderTracker(NodeContext context) {
    this.context = context;
  }

  /**
   * Records a round.
   *
   * @param isDelivered whether it came from the parent, or is this leader's own
   * @return whether it is newer than all rounds before
   */
  boolean recordRound(Deliver delivery, boolean isDelivered) {
    if (isDelivered && delivery.round().newerThan(deliveredRound)) {
      recordDelivery(delivery);
    }
    if (!delivery.round().newerThan(round)) {
      return false;
    }
    round = delivery.round();
    heardAt = context.now();
    leader = delivery.leader();
    return true;
  }

  private void recordDelivery(Deliver delivery) {
    if (context.now() - deliveredAt > context.settings().parentStallMillis()) {
      steadySince = context.now();
    }
    deliveredRound = delivery.round();
    deliveredLeader = delivery.leader();
    deliveredLeaderSlot = delivery.leaderSlot();
    readers = delivery.readers();
    deliveredAt = context.now();
  }

  /** Clears the leader because it no longer leads. */
  void forgetLeader() {
    leader = null;
  }

  /** The newest round received. */
  Round round() {
    return round;
  }

  Optional<PeerAddress> leader() {
    return Optional.ofNullable(leader);
  }

  /** Whether a round was received within the last given milliseconds. */
  boolean isHeardWithin(long millis) {
    return leader != null && context.now() - heardAt < millis;
  }

  /** The newest round delivered along the relay tree. */
  Round deliveredRound() {
    return deliveredRound;
  }

  /** The leader of {@link #deliveredRound}. */
  Optional<PeerAddress> deliveredLeader() {
    return Optional.ofNullable(deliveredLeader);
  }

  int deliveredLeaderSlot() {
    return deliveredLeaderSlot;
  }

  /** The readers assigned by {@link #deliveredRound}. */
  List<Integer> readers() {
    return readers;
  }

  /** When {@link #deliveredRound} arrived; 0 before the first. */
  long deliveredAt() {
    return deliveredAt;
  }

  /** Whether a round was delivered along the relay tree within the last given milliseconds. */
  boolean isDeliveredWithin(long millis) {
    return deliveredLeader != null && context.now() - deliveredAt < millis;
  }

  /** Whether a round was delivered along the relay tree within the election timeout. */
  boolean isDeliveryCurrent() {
    return isDeliveredWithin(context.settings().electionMillis());
  }

  /**
   * Whether rounds arrive at their regular interval. Rounds that were held up and arrive in a
   * burst, for example after this process was paused, say nothing about the current state.
   */
  boolean isSteady() {
    return deliveredAt - steadySince >= context.settings().heartbeatMillis() / 2;
  }
}
