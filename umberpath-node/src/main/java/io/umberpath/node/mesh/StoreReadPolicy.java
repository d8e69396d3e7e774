package io.umberpath.node.mesh;

import io.umberpath.control.store.ReaderElection;
import java.util.function.LongSupplier;

/** Decides whether this node reads the store itself, from its state and the peers' reports. */
final class StoreReadPolicy {
  /**
   * How long a restarted node waits for the state of another node before it reads the store,
   * milliseconds; a node without a state, or an absent one, fails the transfer immediately.
   */
  private static final long RESTART_WAIT_MILLIS = 250;

  /**
   * The same at the first start of the whole system, when only the seeds read the store,
   * milliseconds; traffic begins 13 s after the start of the machines at the earliest.
   */
  private static final long FIRST_START_WAIT_MILLIS = 3_000;

  /**
   * How long a node with a state that knows no other node does not read the store, milliseconds: a
   * few rounds of reports, in which it discovers its peers. Without this wait, each starting node
   * took itself for the only one and made one to three unnecessary calls.
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
   * Whether this node calls the store: as a reader of its zone, while it has no state, or to find
   * out why the entry of the local backend is missing.
   */
  ReadDecision decide() {
    if (!state.view().isComplete()) {
      return new ReadDecision(!shouldWaitForPeers(), false, () -> "holds no state yet");
    }
    boolean mayHavePeers = !settings.otherSeeds().isEmpty();
    if (mayHavePeers && peers.nodeCount() == 1 && uptimeMillis() < PEER_DISCOVERY_MILLIS) {
      return new ReadDecision(false, false, () -> "knows no other node yet");
    }
    ReaderElection.Decision election = peers.electReader(!follower.contact().reachable());
    if (attester.isEntryMissing()) {
      return new ReadDecision(true, false, () -> "the entry of its back end is missing");
    }
    return new ReadDecision(
        election.isReader(), election.isReader() && peers.isStandbyReader(), election::inputs);
  }

  /**
   * Whether to wait for the state of another node first: compressed, it takes a tenth of the bytes
   * of the store's pages and saves the three store calls of a start; and the store may have only an
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
