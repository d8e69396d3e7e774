package io.umberpath.control;

import io.umberpath.control.ChangeQueue.Entry;
import io.umberpath.control.ControlMessage.ChangeOutcome;
import io.umberpath.control.ControlMessage.ForwardChange;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeResult.RefusalCode;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.FleetState;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides operator changes at the leader. No change is refused before the term has committed its
 * first state, because a change proposed by a previous leader may still be committed until then.
 */
final class ChangeDecider {
  private final NodeContext context;
  private final Acceptor acceptor;
  private final ChangeQueue queue;
  private final ForwardedChanges forwardedChanges = new ForwardedChanges();
  private final List<Entry> proposed = new ArrayList<>();
  private boolean isLeader;
  private boolean hasCommitted;
  private long epoch;

  ChangeDecider(NodeContext context, Acceptor acceptor) {
    this.context = context;
    this.acceptor = acceptor;
    this.queue = new ChangeQueue(context.settings().maxQueuedChanges());
  }

  void beginTerm(long newEpoch) {
    endTerm();
    isLeader = true;
    epoch = newEpoch;
  }

  void endTerm() {
    isLeader = false;
    hasCommitted = false;
    queue.clear();
    proposed.clear();
    forwardedChanges.clear();
  }

  /** Handles an operator change forwarded by another node. */
  void onForward(ForwardChange forward) {
    if (!isLeader || forward.epoch() != epoch) {
      return;
    }
    switch (forwardedChanges.onArrival(forward)) {
      case NEW -> enqueue(forward);
      case DECIDED -> forwardedChanges.result(forward).ifPresent(result -> reply(forward, result));
      default -> {}
    }
  }

  private void enqueue(ForwardChange forward) {
    Entry entry =
        new Entry(
            forward.change(),
            () -> {},
            result -> {
              forwardedChanges.markDecided(forward, result);
              reply(forward, result);
            });
    forwardedChanges.markQueued(forward);
    if (!offer(entry)) {
      if (hasCommitted) {
        entry.onResult().accept(overloadRefusal());
      } else {
        forwardedChanges.remove(forward);
      }
    }
  }

  private void reply(ForwardChange forward, ChangeResult result) {
    context.send(
        forward.origin().address(),
        new ChangeOutcome(epoch, forward.origin().incarnation(), forward.number(), result));
  }

  /**
   * Queues a change, or responds immediately if its result is already known.
   *
   * @return false if the queue of its tier is full
   */
  boolean offer(Entry entry) {
    if (hasCommitted) {
      Optional<ChangeResult> known =
          ChangeBatch.findPreviousResult(acceptor.committed(), entry.change());
      if (known.isPresent()) {
        entry.onResult().accept(known.get());
        return true;
      }
    }
    return queue.offer(entry, context.now());
  }

  /** Whether changes may be refused at this point of the term. */
  boolean mayRefuse() {
    return hasCommitted;
  }

  static ChangeResult overloadRefusal() {
    return new ChangeResult.Refused(RefusalCode.OVERLOADED, List.of());
  }

  /**
   * Removes a change from the queue; returns whether it certainly was not proposed in this term.
   */
  boolean cancel(Entry entry) {
    return queue.remove(entry);
  }

  /** When the oldest queued change arrived; {@link Long#MAX_VALUE} if the queue is empty. */
  long queuedSince() {
    return queue.firstQueuedAt();
  }

  /**
   * Takes the next batch of changes from the queue; changes that are refused get their result
   * immediately.
   */
  ChangeBatch nextBatch(FleetState committed, Version target, PlatformDocument document) {
    ChangeBatch batch = new ChangeBatch(committed, target, document);
    for (Entry entry : queue.takeBatch(context.now())) {
      ChangeSet change = entry.change();
      Optional<ChangeResult> outcome = batch.add(change);
      if (outcome.isPresent()) {
        entry.onResult().accept(outcome.get());
      } else {
        entry.onProposed().run();
        proposed.add(entry);
      }
    }
    return batch;
  }

  /** Reports the changes of the committed proposal as accepted. */
  void onCommitted(FleetState state) {
    hasCommitted = true;
    for (Entry entry : proposed) {
      ChangeResult result =
          ChangeBatch.findPreviousResult(state, entry.change())
              .orElseGet(() -> new ChangeResult.Accepted(state.version()));
      entry.onResult().accept(result);
    }
    proposed.clear();
  }
}
