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
 * A leader's decisions about operator changes. Nothing is refused before the term has committed its
 * first state: until then a change that a former leader proposed may still turn up.
 */
final class ChangeDecider {
  private final NodeContext context;
  private final Acceptor acceptor;
  private final ChangeQueue queue;
  private final OriginLedger ledger = new OriginLedger();
  private final List<Entry> proposed = new ArrayList<>();
  private boolean leads;
  private boolean settled;
  private long epoch;

  ChangeDecider(NodeContext context, Acceptor acceptor) {
    this.context = context;
    this.acceptor = acceptor;
    this.queue = new ChangeQueue(context.settings().maxQueuedChanges());
  }

  void beginTerm(long newEpoch) {
    endTerm();
    leads = true;
    epoch = newEpoch;
  }

  void endTerm() {
    leads = false;
    settled = false;
    queue.clear();
    proposed.clear();
    ledger.clear();
  }

  /** A node passed an operator's change on. */
  void forwarded(ForwardChange forward) {
    if (!leads || forward.epoch() != epoch) {
      return;
    }
    switch (ledger.arrived(forward)) {
      case NEW -> queue(forward);
      case DECIDED -> ledger.result(forward).ifPresent(result -> reply(forward, result));
      default -> {}
    }
  }

  private void queue(ForwardChange forward) {
    Entry entry =
        new Entry(
            forward.change(),
            () -> {},
            result -> {
              ledger.decided(forward, result);
              reply(forward, result);
            });
    ledger.queued(forward);
    if (!offer(entry)) {
      if (settled) {
        entry.onResult().accept(overloaded());
      } else {
        ledger.forget(forward);
      }
    }
  }

  private void reply(ForwardChange forward, ChangeResult result) {
    context.send(
        forward.origin().address(),
        new ChangeOutcome(epoch, forward.origin().incarnation(), forward.number(), result));
  }

  /**
   * Queues a change, or answers it at once if it was answered before.
   *
   * @return false if the queue of its tier is full
   */
  boolean offer(Entry entry) {
    if (settled) {
      Optional<ChangeResult> known = ChangeBatch.repeated(acceptor.committed(), entry.change());
      if (known.isPresent()) {
        entry.onResult().accept(known.get());
        return true;
      }
    }
    return queue.offer(entry, context.now());
  }

  /** Whether a change may be refused in this term. */
  boolean mayRefuse() {
    return settled;
  }

  static ChangeResult overloaded() {
    return new ChangeResult.Refused(RefusalCode.OVERLOADED, List.of());
  }

  /** Takes a change back; returns whether it certainly was not proposed in this term. */
  boolean withdraw(Entry entry) {
    return queue.remove(entry);
  }

  /** When the oldest queued change came; {@link Long#MAX_VALUE} if none waits. */
  long waitingSince() {
    return queue.firstQueuedAt();
  }

  /** Takes the next batch of changes; those that cannot run are answered at once. */
  ChangeBatch batch(FleetState committed, Version target, PlatformDocument document) {
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

  /** The proposal was committed: everything in it was accepted. */
  void committed(FleetState state) {
    settled = true;
    for (Entry entry : proposed) {
      ChangeResult result =
          ChangeBatch.repeated(state, entry.change())
              .orElseGet(() -> new ChangeResult.Accepted(state.version()));
      entry.onResult().accept(result);
    }
    proposed.clear();
  }
}
