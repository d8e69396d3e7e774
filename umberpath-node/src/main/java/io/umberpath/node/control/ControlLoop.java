package io.umberpath.node.control;

import com.google.common.flogger.FluentLogger;
import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlNode;
import io.umberpath.control.ControlOutput;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeResult.RefusalCode;
import io.umberpath.model.PlatformDocument;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The control thread: takes tasks from the inbox, ticks the node when it is due, and has its
 * outputs carried out. Ends when the inbox is closed or the node fails.
 */
final class ControlLoop implements Runnable {
  /** The answer to a change that never reached the node. */
  static final ChangeResult NOT_RUN = new ChangeResult.Refused(RefusalCode.NO_QUORUM, List.of());

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final ChangeResult UNKNOWN =
      new ChangeResult.Unknown("the node stopped before the outcome was known");
  private static final long MAX_WAIT_MILLIS = 1_000;
  private static final long MIN_TICK_MILLIS = 1;

  private final ControlNode node;
  private final ControlInbox inbox;
  private final OutputHandler outputs;
  private final Runnable onFailure;
  private final long startNanos = System.nanoTime();
  private final TicketBook<ChangeResult> changes = new TicketBook<>();
  private final TicketBook<List<ControlStatus.NodeView>> views = new TicketBook<>();
  private long nextTickAt;
  private boolean statusDue;
  private volatile ControlStatus status;

  ControlLoop(ControlNode node, ControlInbox inbox, OutputHandler outputs, Runnable onFailure) {
    this.node = node;
    this.inbox = inbox;
    this.outputs = outputs;
    this.onFailure = onFailure;
    this.status = node.status();
  }

  /** What the node believed after its last input but a few. */
  ControlStatus status() {
    return status;
  }

  @Override
  public void run() {
    boolean failed = false;
    try {
      while (!inbox.isClosed()) {
        step();
      }
      changes.openTickets().forEach(this::abandon);
    } catch (InterruptedException e) {
      logger.atSevere().log("The control thread was interrupted");
      failed = true;
    } catch (RuntimeException | Error e) {
      logger.atSevere().withCause(e).log("The control node failed; this process must be replaced");
      failed = true;
    } finally {
      finish();
    }
    if (failed) {
      onFailure.run();
    }
  }

  private void step() throws InterruptedException {
    Optional<ControlTask> task = inbox.poll(waitMillis(now()));
    if (task.isPresent()) {
      accept(task.get());
    }
    long now = now();
    changes.takeOverdue(now).forEach(this::abandon);
    views.takeOverdue(now).forEach(ticket -> views.answer(ticket, List.of()));
    if (now >= nextTickAt && now >= node.nextWakeMillis()) {
      nextTickAt = now + MIN_TICK_MILLIS;
      handle(new ControlInput.Tick());
    }
    if (statusDue) {
      publish();
    }
  }

  private long waitMillis(long now) {
    long wake = Math.max(nextTickAt, node.nextWakeMillis());
    wake = Math.min(wake, changes.nextDeadline().orElse(Long.MAX_VALUE));
    wake = Math.min(wake, views.nextDeadline().orElse(Long.MAX_VALUE));
    return Math.max(0, Math.min(wake - now, MAX_WAIT_MILLIS));
  }

  private void accept(ControlTask task) {
    if (task instanceof ControlTask.Input input) {
      handle(input.input());
    } else if (task instanceof ControlTask.Change change) {
      changes.open(change.ticket(), change.answer(), now() + change.timeout().toMillis());
      handle(change.input());
    } else if (task instanceof ControlTask.FleetView view) {
      views.open(view.ticket(), view.answer(), now() + view.timeout().toMillis());
      handle(new ControlInput.FleetViewRequested(view.ticket()));
    }
  }

  private void abandon(long ticket) {
    handle(new ControlInput.ChangeAbandoned(ticket));
    changes.answer(ticket, UNKNOWN);
  }

  private void handle(ControlInput input) {
    List<ControlOutput> decided = node.handle(now(), input);
    statusDue = true;
    for (ControlOutput output : decided) {
      carryOut(output);
    }
  }

  private void carryOut(ControlOutput output) {
    if (output instanceof ControlOutput.ChangeAnswered answered) {
      publish();
      changes.answer(answered.ticket(), answered.result());
    } else if (output instanceof ControlOutput.FleetViewAnswered answered) {
      views.answer(answered.ticket(), answered.nodes());
    } else {
      if (output instanceof ControlOutput.Activate) {
        // Who sees the snapshot must not find an older status.
        publish();
      }
      outputs.carryOut(output, this::document);
    }
  }

  private PlatformDocument document() {
    return node.status().document();
  }

  private void publish() {
    status = node.status();
    statusDue = false;
  }

  private void finish() {
    inbox.close();
    changes.openTickets().forEach(ticket -> changes.answer(ticket, UNKNOWN));
    views.openTickets().forEach(ticket -> views.answer(ticket, List.of()));
    for (ControlTask task : inbox.drain()) {
      if (task instanceof ControlTask.Change change) {
        change.answer().completeAsync(() -> NOT_RUN);
      } else if (task instanceof ControlTask.FleetView view) {
        view.answer().completeAsync(List::of);
      }
    }
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
