package io.umberpath.node.mesh;

import io.umberpath.control.store.ReaderElection;
import java.util.function.LongSupplier;

/** Whether this node calls the store itself, from what it holds and what the others say. */
final class StoreReadPolicy {
  /**
   * How long a node that starts again waits for the answer of another node before it reads the
   * store, milliseconds; one that holds nothing, or is not there, answers at once.
   */
  private static final long RESTART_WAIT_MILLIS = 250;

  /**
   * The same at the first start of the whole system, where only the nodes that others are told to
   * ask read the store, milliseconds; traffic begins 13 s after the machines at the earliest.
   */
  private static final long FIRST_START_WAIT_MILLIS = 3_000;

  /**
   * How long a node that holds a state and knows no other node leaves reading to those it is about
   * to hear of, milliseconds: a few rounds of reports. Each start called the store one to three
   * times in that time for nothing, as it took itself for the only node.
   */
  private static final long PEER_DISCOVERY_MILLIS = 1_000;

  private final MeshSettings settings;
  private final MeshState state;
  private final StoreFollower follower;
  private final StatePuller puller;
  private final PeerExchange peers;
  private final LivenessAttester attester;
  private final LongSupplier clockMillis;
  private final long startedMillis;

  /** Creates the policy of a node that starts now. */
  StoreReadPolicy(
      MeshSettings settings,
      MeshState state,
      StoreFollower follower,
      StatePuller puller,
      PeerExchange peers,
      LivenessAttester attester,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.state = state;
    this.follower = follower;
    this.puller = puller;
    this.peers = peers;
    this.attester = attester;
    this.clockMillis = clockMillis;
    this.startedMillis = clockMillis.getAsLong();
  }

  /**
   * Whether this node calls the store: as one of its zone's readers, while it holds nothing yet, or
   * to find out why the entry of the back end beside it is missing.
   */
  ReadDecision decide() {
    if (!state.view().isComplete()) {
      return new ReadDecision(!shouldWaitForPeers(), false, () -> "holds no state yet");
    }
    boolean mayHavePeers = !settings.otherSeeds().isEmpty();
    if (mayHavePeers && peers.nodes() == 1 && uptimeMillis() < PEER_DISCOVERY_MILLIS) {
      return new ReadDecision(false, false, () -> "knows no other node yet");
    }
    ReaderElection.Decision election = peers.electReader(!follower.contact().reachable());
    if (attester.isEntryMissing()) {
      return new ReadDecision(true, false, () -> "the entry of its back end is missing");
    }
    return new ReadDecision(
        election.reads(), election.reads() && peers.isStandbyReader(), election::inputs);
  }

  /**
   * Whether the state is to come from another node first: compressed, it takes a tenth of the bytes
   * of the store's pages and no calls to the store, three a start; and the store may show only an
   * older copy.
   */
  private boolean shouldWaitForPeers() {
    if (settings.otherSeeds().isEmpty()) {
      return false;
    }
    long waitedMillis = uptimeMillis();
    return settings.isFirstStart()
        ? !settings.isSeed() && waitedMillis < FIRST_START_WAIT_MILLIS
        : !puller.hasAttemptedTransfer() && waitedMillis < RESTART_WAIT_MILLIS;
  }

  private long uptimeMillis() {
    return clockMillis.getAsLong() - startedMillis;
  }
}
