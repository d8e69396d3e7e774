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
 * Event loop of the control thread: passes tasks from the inbox and periodic ticks to the node and
 * executes the node's outputs. Ends when the inbox is closed or the node fails.
 */
final class ControlLoop implements Runnable {
  /** The result of a change that never reached the node. */
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
  private final PendingRequests<ChangeResult> changes = new PendingRequests<>();
  private final PendingRequests<List<ControlStatus.NodeView>> views = new PendingRequests<>();
  private long nextTickMillis;
  private boolean statusOutdated;
  private volatile ControlStatus status;

  ControlLoop(ControlNode node, ControlInbox inbox, OutputHandler outputs, Runnable onFailure) {
    this.node = node;
    this.inbox = inbox;
    this.outputs = outputs;
    this.onFailure = onFailure;
    this.status = node.status();
  }

  /** Status of the node after a recent input; may lag the latest input slightly. */
  ControlStatus status() {
    return status;
  }

  @Override
  public void run() {
    boolean failed = false;
    try {
      while (!inbox.isClosed()) {
        runOnce();
      }
      changes.pendingTickets().forEach(this::abandonChange);
    } catch (InterruptedException e) {
      logger.atSevere().log("The control thread was interrupted");
      failed = true;
    } catch (RuntimeException | Error e) {
      logger.atSevere().withCause(e).log("The control node failed; this process must be replaced");
      failed = true;
    } finally {
      completePending();
    }
    if (failed) {
      onFailure.run();
    }
  }

  private void runOnce() throws InterruptedException {
    Optional<ControlTask> task = inbox.poll(waitMillis(now()));
    if (task.isPresent()) {
      process(task.get());
    }
    long now = now();
    changes.takeExpired(now).forEach(this::abandonChange);
    views.takeExpired(now).forEach(ticket -> views.complete(ticket, List.of()));
    if (now >= nextTickMillis && now >= node.nextWakeMillis()) {
      nextTickMillis = now + MIN_TICK_MILLIS;
      handle(new ControlInput.Tick());
    }
    if (statusOutdated) {
      publishStatus();
    }
  }

  private long waitMillis(long now) {
    long wakeMillis = Math.max(nextTickMillis, node.nextWakeMillis());
    wakeMillis = Math.min(wakeMillis, changes.nextDeadlineMillis().orElse(Long.MAX_VALUE));
    wakeMillis = Math.min(wakeMillis, views.nextDeadlineMillis().orElse(Long.MAX_VALUE));
    return Math.max(0, Math.min(wakeMillis - now, MAX_WAIT_MILLIS));
  }

  private void process(ControlTask task) {
    if (task instanceof ControlTask.Input input) {
      handle(input.input());
    } else if (task instanceof ControlTask.Change change) {
      changes.add(change.ticket(), change.result(), now() + change.timeout().toMillis());
      handle(change.input());
    } else if (task instanceof ControlTask.FleetView view) {
      views.add(view.ticket(), view.result(), now() + view.timeout().toMillis());
      handle(new ControlInput.FleetViewRequested(view.ticket()));
    }
  }

  private void abandonChange(long ticket) {
    handle(new ControlInput.ChangeAbandoned(ticket));
    changes.complete(ticket, UNKNOWN);
  }

  private void handle(ControlInput input) {
    List<ControlOutput> produced = node.handle(now(), input);
    statusOutdated = true;
    for (ControlOutput output : produced) {
      execute(output);
    }
  }

  private void execute(ControlOutput output) {
    if (output instanceof ControlOutput.ChangeAnswered completed) {
      publishStatus();
      changes.complete(completed.ticket(), completed.result());
    } else if (output instanceof ControlOutput.FleetViewAnswered completed) {
      views.complete(completed.ticket(), completed.nodes());
    } else {
      if (output instanceof ControlOutput.Activate) {
        // Publish the status before the snapshot: a reader of the new snapshot must never see an
        // older status.
        publishStatus();
      }
      outputs.execute(output, this::platformDocument);
    }
  }

  private PlatformDocument platformDocument() {
    return node.status().document();
  }

  private void publishStatus() {
    status = node.status();
    statusOutdated = false;
  }

  private void completePending() {
    inbox.close();
    changes.pendingTickets().forEach(ticket -> changes.complete(ticket, UNKNOWN));
    views.pendingTickets().forEach(ticket -> views.complete(ticket, List.of()));
    for (ControlTask task : inbox.drain()) {
      if (task instanceof ControlTask.Change change) {
        change.result().completeAsync(() -> NOT_RUN);
      } else if (task instanceof ControlTask.FleetView view) {
        view.result().completeAsync(List::of);
      }
    }
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
