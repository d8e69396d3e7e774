package io.umberpath.control;

import io.umberpath.control.ControlMessage.Deliver;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.model.PeerAddress;
import java.util.List;
import java.util.Optional;

/**
 * What a node knows of the newest heartbeat round. A round that came down the tree shows that the
 * node is fed by the leader; one that a leader announced directly only shows that it exists.
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
   * Takes a round.
   *
   * @param isDelivered whether it came from the parent, or is this leader's own
   * @return whether it is newer than any heard before
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

  /** The node learnt that the leader it knew leads no longer. */
  void forgetLeader() {
    leader = null;
  }

  /** The newest round heard. */
  Round round() {
    return round;
  }

  Optional<PeerAddress> leader() {
    return Optional.ofNullable(leader);
  }

  /** Whether a round was heard within the last milliseconds. */
  boolean heardWithin(long millis) {
    return leader != null && context.now() - heardAt < millis;
  }

  /** The newest round that came down the tree. */
  Round deliveredRound() {
    return deliveredRound;
  }

  /** The leader of {@link #fedRound}. */
  Optional<PeerAddress> deliveredLeader() {
    return Optional.ofNullable(deliveredLeader);
  }

  int deliveredLeaderSlot() {
    return deliveredLeaderSlot;
  }

  /** The readers that {@link #fedRound} names. */
  List<Integer> readers() {
    return readers;
  }

  /** When {@link #fedRound} came; 0 before the first. */
  long deliveredAt() {
    return deliveredAt;
  }

  /** Whether a round came down the tree within the last milliseconds. */
  boolean deliveredWithin(long millis) {
    return deliveredLeader != null && context.now() - deliveredAt < millis;
  }

  /** Whether a round came down the tree within the election time. */
  boolean isDeliveryCurrent() {
    return deliveredWithin(context.settings().electionMillis());
  }

  /**
   * Whether rounds come at their own pace. Rounds that were held up and arrive in a burst, for
   * example after this process was paused, tell nothing of the present.
   */
  boolean isSteady() {
    return deliveredAt - steadySince >= context.settings().heartbeatMillis() / 2;
  }
}
