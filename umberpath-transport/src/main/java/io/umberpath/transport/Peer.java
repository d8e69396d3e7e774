package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Connection state and send queue of one peer. Guarded by {@link PeerTable#lock}. */
final class Peer {
  final PeerAddress address;
  final SendQueue queue;
  final Backoff backoff;
  final List<PeerConnection> established = new ArrayList<>();

  /** Connection on which messages are sent; null if there is none. */
  PeerConnection active;

  /** Connection attempt in progress; null if there is none. */
  PeerConnection connectAttempt;

  /** Earliest time of the next connection attempt, in milliseconds of the transport clock. */
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
   * Returns the usable connection that both sides select: the one dialled by the smaller address if
   * there are connections in both directions, otherwise the newest.
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

  /** Whether this peer has no connections, queued frames or pending backoff and can be removed. */
  boolean isIdle(long nowMillis) {
    return established.isEmpty()
        && connectAttempt == null
        && queue.isEmpty()
        && nowMillis >= nextAttemptMillis;
  }
}
