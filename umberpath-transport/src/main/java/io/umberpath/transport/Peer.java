package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Everything known of one peer. Guarded by {@link PeerTable#lock}. */
final class Peer {
  final PeerAddress address;
  final SendQueue queue;
  final Backoff backoff;
  final List<PeerConnection> established = new ArrayList<>();

  /** The connection messages are sent on; null if there is none. */
  PeerConnection active;

  /** The attempt that is under way; null if there is none. */
  PeerConnection connectAttempt;

  /** No attempt before this time. */
  long nextAttemptMillis;

  boolean disconnectWhenEmpty;

  Peer(PeerAddress address, TransportSettings settings) {
    this.address = address;
    TransportSettings.Limits limits = settings.limits();
    TransportSettings.Timeouts timeouts = settings.timeouts();
    this.queue = new SendQueue(limits.maxQueuedMessages(), limits.maxQueuedBytes());
    this.backoff = new Backoff(timeouts.minBackoffMillis(), timeouts.maxBackoffMillis());
    this.nextAttemptMillis = Long.MIN_VALUE;
  }

  /**
   * The usable connection both sides prefer: of two directions, the one that the smaller address
   * dialled; of one direction, the newest.
   */
  Optional<PeerConnection> preferredConnection(PeerAddress self) {
    boolean preferOutbound = self.compareTo(address) < 0;
    PeerConnection best = null;
    for (PeerConnection candidate : established) {
      if (!candidate.isUsable()) {
        continue;
      }
      boolean replaces =
          best == null
              || candidate.isOutbound() == best.isOutbound()
              || candidate.isOutbound() == preferOutbound;
      best = replaces ? candidate : best;
    }
    return Optional.ofNullable(best);
  }

  /** Whether nothing would be lost by forgetting this peer. */
  boolean isIdle(long nowMillis) {
    return established.isEmpty()
        && connectAttempt == null
        && queue.isEmpty()
        && nowMillis >= nextAttemptMillis;
  }
}
