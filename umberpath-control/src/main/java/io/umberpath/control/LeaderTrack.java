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
final class LeaderTrack {
  private final NodeContext context;
  private Round round = Round.NONE;
  private long heardAt;
  private PeerAddress leader;
  private Round fedRound = Round.NONE;
  private PeerAddress fedLeader;
  private int fedLeaderSlot;
  private List<Integer> readers = List.of();
  private long fedAt;
  private long steadySince;

  LeaderTrack(NodeContext context) {
    this.context = context;
  }

  /**
   * Takes a round.
   *
   * @param fed whether it came from the parent, or is this leader's own
   * @return whether it is newer than any heard before
   */
  boolean hear(Deliver delivery, boolean fed) {
    if (fed && delivery.round().newerThan(fedRound)) {
      feed(delivery);
    }
    if (!delivery.round().newerThan(round)) {
      return false;
    }
    round = delivery.round();
    heardAt = context.now();
    leader = delivery.leader();
    return true;
  }

  private void feed(Deliver delivery) {
    if (context.now() - fedAt > context.settings().parentStallMillis()) {
      steadySince = context.now();
    }
    fedRound = delivery.round();
    fedLeader = delivery.leader();
    fedLeaderSlot = delivery.leaderSlot();
    readers = delivery.readers();
    fedAt = context.now();
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
  Round fedRound() {
    return fedRound;
  }

  /** The leader of {@link #fedRound}. */
  Optional<PeerAddress> fedLeader() {
    return Optional.ofNullable(fedLeader);
  }

  int fedLeaderSlot() {
    return fedLeaderSlot;
  }

  /** The readers that {@link #fedRound} names. */
  List<Integer> readers() {
    return readers;
  }

  /** When {@link #fedRound} came; 0 before the first. */
  long fedAt() {
    return fedAt;
  }

  /** Whether a round came down the tree within the last milliseconds. */
  boolean fedWithin(long millis) {
    return fedLeader != null && context.now() - fedAt < millis;
  }

  /** Whether a round came down the tree within the election time. */
  boolean isFed() {
    return fedWithin(context.settings().electionMillis());
  }

  /**
   * Whether rounds come at their own pace. Rounds that were held up and arrive in a burst, for
   * example after this process was paused, tell nothing of the present.
   */
  boolean isSteady() {
    return fedAt - steadySince >= context.settings().heartbeatMillis() / 2;
  }
}
