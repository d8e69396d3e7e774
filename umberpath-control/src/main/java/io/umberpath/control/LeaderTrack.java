package io.umberpath.control;

import io.umberpath.control.ControlMessage.Deliver;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.model.PeerAddress;
import java.util.List;
import java.util.Optional;

/** What a node knows of the newest heartbeat round it heard. */
final class LeaderTrack {
  private final NodeContext context;
  private Round round = Round.NONE;
  private long heardAt;
  private long steadySince;
  private PeerAddress leader;
  private int leaderSlot;
  private List<Integer> readers = List.of();

  LeaderTrack(NodeContext context) {
    this.context = context;
  }

  /** Takes a round if it is newer than the one known; returns whether it was. */
  boolean hear(Deliver delivery) {
    if (!delivery.round().newerThan(round)) {
      return false;
    }
    if (context.now() - heardAt > context.settings().parentStallMillis()) {
      steadySince = context.now();
    }
    round = delivery.round();
    heardAt = context.now();
    leader = delivery.leader();
    leaderSlot = delivery.leaderSlot();
    readers = delivery.readers();
    return true;
  }

  /** The node learnt that the leader it knew leads no longer. */
  void forgetLeader() {
    leader = null;
  }

  Round round() {
    return round;
  }

  /** When the newest round was heard; 0 before the first. */
  long heardAt() {
    return heardAt;
  }

  /**
   * Whether rounds come at their own pace. Rounds that were held up and arrive in a burst, for
   * example after this process was paused, tell nothing of the present.
   */
  boolean isSteady() {
    return heardAt - steadySince >= context.settings().heartbeatMillis() / 2;
  }

  Optional<PeerAddress> leader() {
    return Optional.ofNullable(leader);
  }

  int leaderSlot() {
    return leaderSlot;
  }

  List<Integer> readers() {
    return readers;
  }

  /** Whether a round was heard within the last milliseconds. */
  boolean heardWithin(long millis) {
    return leader != null && context.now() - heardAt < millis;
  }
}
