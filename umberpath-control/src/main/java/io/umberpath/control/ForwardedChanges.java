package io.umberpath.control;

import io.umberpath.control.ControlMessage.ForwardChange;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.PeerAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Records a leader's decisions about forwarded changes in its term, so that a delayed or duplicated
 * forward never applies a change whose origin already has a result.
 */
final class ForwardedChanges {
  private final Map<PeerAddress, Origin> origins = new HashMap<>();

  /** How to handle a forward. */
  enum Arrival {
    /** Received for the first time: queue it. */
    NEW,
    /** Already queued or proposed, or closed by its origin: ignore it. */
    DUPLICATE,
    /** Already decided: send the result again. */
    DECIDED
  }

  private static final class Origin {
    private final long incarnation;
    private final TreeMap<Long, Optional<ChangeResult>> open = new TreeMap<>();
    private long lowestOpen;

    private Origin(long incarnation) {
      this.incarnation = incarnation;
    }
  }

  /** Removes all records for a new term; forwards of previous terms are ignored. */
  void clear() {
    origins.clear();
  }

  /** Classifies a forward and closes the numbers that its origin has closed. */
  Arrival onArrival(ForwardChange forward) {
    PeerAddress address = forward.origin().address();
    Origin origin = origins.get(address);
    if (origin == null || origin.incarnation < forward.origin().incarnation()) {
      origin = new Origin(forward.origin().incarnation());
      origins.put(address, origin);
    }
    if (origin.incarnation > forward.origin().incarnation()) {
      return Arrival.DUPLICATE;
    }
    origin.lowestOpen = Math.max(origin.lowestOpen, forward.lowestOpen());
    origin.open.headMap(origin.lowestOpen).clear();
    if (forward.number() < origin.lowestOpen) {
      return Arrival.DUPLICATE;
    }
    Optional<ChangeResult> known = origin.open.get(forward.number());
    if (known == null) {
      return Arrival.NEW;
    }
    return known.isPresent() ? Arrival.DECIDED : Arrival.DUPLICATE;
  }

  /** Records that the change was queued. */
  void markQueued(ForwardChange forward) {
    origin(forward).ifPresent(origin -> origin.open.put(forward.number(), Optional.empty()));
  }

  /** Removes a change that could not be queued. */
  void remove(ForwardChange forward) {
    origin(forward).ifPresent(origin -> origin.open.remove(forward.number()));
  }

  /** Records the result of a change. */
  void markDecided(ForwardChange forward, ChangeResult result) {
    origin(forward)
        .filter(origin -> forward.number() >= origin.lowestOpen)
        .ifPresent(origin -> origin.open.put(forward.number(), Optional.of(result)));
  }

  /** The recorded result. */
  Optional<ChangeResult> result(ForwardChange forward) {
    return origin(forward).flatMap(origin -> origin.open.get(forward.number()));
  }

  private Optional<Origin> origin(ForwardChange forward) {
    return Optional.ofNullable(origins.get(forward.origin().address()))
        .filter(origin -> origin.incarnation == forward.origin().incarnation());
  }
}
