package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Operators who hand in changes through random nodes: singly, in bursts, racing each other on one
 * resource, repeating one request id through two nodes, and stating expected versions. One whose
 * change was not accepted for lack of a leader, or whose outcome is unknown, repeats it.
 */
final class Operators {
  private static final double SECONDS_PER_DAY = 86_400;
  private static final long BURST_PERIOD_NANOS = 60 * Durations.SECOND;
  private static final long BURST_NANOS = 5 * Durations.SECOND;
  private static final long PATIENCE_NANOS = 8 * Durations.SECOND;
  private static final long RETRY_NANOS = 500 * Durations.MILLI;
  private static final int MOST_TRIES = 12;
  private static final long REPEAT_SPREAD_NANOS = 50 * Durations.MILLI;

  private record Ticket(int node, long incarnation, long number) {}

  private record Submission(
      OperatorChange change, int tries, Consumer<OperatorChange> onAccepted) {}

  private final SimulationSettings settings;
  private final EventQueue queue;
  private final SplittableRandom random;
  private final Fleet fleet;
  private final ChangeLedger ledger;
  private final ConvergenceTracker convergence;
  private final ChangeGenerator generator;
  private final Map<Ticket, Submission> open = new HashMap<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private boolean active;

  Operators(
      SimulationSettings settings,
      EventQueue queue,
      SplittableRandom random,
      Fleet fleet,
      ChangeLedger ledger,
      ConvergenceTracker convergence) {
    this.settings = settings;
    this.queue = queue;
    this.random = random;
    this.fleet = fleet;
    this.ledger = ledger;
    this.convergence = convergence;
    this.generator = new ChangeGenerator(random.split(), settings.profile().services());
  }

  /** Creates every service's resources. */
  void createInitialContent(long spreadNanos) {
    for (int service = 0; service < generator.serviceCount(); service++) {
      ChangeSet change = generator.initial(service);
      queue.after(
          spreadNanos * service / generator.serviceCount(), () -> submit(change, accepted -> {}));
    }
  }

  /** Begins to hand in changes at the rates of the settings. */
  void start() {
    active = true;
    scheduleNext(settings.changesPerDay() / SECONDS_PER_DAY, false);
    scheduleNext(settings.burstPerSecond(), true);
  }

  void stop() {
    active = false;
  }

  private void scheduleNext(double perSecond, boolean inBurst) {
    if (perSecond <= 0) {
      return;
    }
    long gap = Math.round(random.nextExponential() / perSecond * Durations.SECOND);
    queue.after(
        gap,
        () -> {
          if (active) {
            if (!inBurst || queue.nowNanos() % BURST_PERIOD_NANOS < BURST_NANOS) {
              act();
            }
            scheduleNext(perSecond, inBurst);
          }
        });
  }

  private void act() {
    int dice = random.nextInt(100);
    if (dice < 8) {
      race();
    } else if (dice < 14) {
      repeat();
    } else if (dice < 17) {
      reuse();
    } else {
      Optional<Version> expected = dice < 22 ? Optional.of(newestKnown()) : Optional.empty();
      submit(generator.random(expected), accepted -> {});
    }
  }

  private void race() {
    int service = random.nextInt(generator.serviceCount());
    Optional<Version> expected =
        random.nextBoolean() ? Optional.of(newestKnown()) : Optional.empty();
    submit(generator.contended(service, expected), accepted -> {});
    submit(generator.contended(service, expected), accepted -> {});
  }

  private void repeat() {
    ChangeSet change = generator.random(Optional.empty());
    submit(change, accepted -> {});
    queue.after(random.nextLong(REPEAT_SPREAD_NANOS), () -> submit(change, accepted -> {}));
  }

  private void reuse() {
    ChangeSet change = generator.random(Optional.empty());
    ChangeSet other = generator.reusing(change);
    submit(change, accepted -> {});
    queue.after(random.nextLong(REPEAT_SPREAD_NANOS), () -> submit(other, accepted -> {}));
  }

  private Version newestKnown() {
    return randomNode().map(node -> node.status.committed().version()).orElse(Version.NONE);
  }

  /** Hands in one change; the consumer is told if it is accepted. */
  void submit(ChangeSet change, Consumer<OperatorChange> onAccepted) {
    submit(change, queue.nowNanos(), 1, onAccepted);
  }

  /** A change that is valid whatever the register contains. */
  ChangeSet probe() {
    return generator.initial(0);
  }

  private void submit(
      ChangeSet change, long sinceNanos, int tries, Consumer<OperatorChange> onAccepted) {
    Optional<SimulatedNode> target = randomNode();
    if (target.isEmpty()) {
      retry(change, sinceNanos, tries, onAccepted);
      return;
    }
    SimulatedNode node = target.get();
    Ticket ticket = new Ticket(node.index, node.incarnation, ++node.nextTicket);
    open.put(ticket, new Submission(ledger.submitted(change, sinceNanos), tries, onAccepted));
    queue.after(PATIENCE_NANOS, () -> abandon(node, ticket));
    fleet.handle(node, new ControlInput.ChangeSubmitted(ticket.number, change));
  }

  private void abandon(SimulatedNode node, Ticket ticket) {
    if (!open.containsKey(ticket)) {
      return;
    }
    if (node.isRunning() && node.incarnation == ticket.incarnation) {
      fleet.handle(node, new ControlInput.ChangeAbandoned(ticket.number));
    } else {
      Submission submission = open.remove(ticket);
      count("no answer");
      retry(submission);
    }
  }

  void answered(SimulatedNode node, long number, ChangeResult result) {
    Submission submission = open.remove(new Ticket(node.index, node.incarnation, number));
    if (submission == null) {
      return;
    }
    ledger.answered(submission.change, result);
    if (result instanceof ChangeResult.Accepted accepted) {
      count("accepted");
      convergence.accepted(accepted.version(), submission.change.submittedNanos, queue.nowNanos());
      submission.onAccepted.accept(submission.change);
    } else if (result instanceof ChangeResult.Refused refused) {
      count("refused " + refused.code());
      if (refused.code() == ChangeResult.RefusalCode.NO_QUORUM
          || refused.code() == ChangeResult.RefusalCode.OVERLOADED) {
        retry(submission);
      }
    } else {
      count("unknown");
      retry(submission);
    }
  }

  private void count(String outcome) {
    outcomes.merge(outcome, 1, Integer::sum);
  }

  private void retry(Submission submission) {
    retry(
        submission.change.change,
        submission.change.submittedNanos,
        submission.tries,
        submission.onAccepted);
  }

  private void retry(
      ChangeSet change, long sinceNanos, int tries, Consumer<OperatorChange> onAccepted) {
    if (tries < MOST_TRIES) {
      queue.after(RETRY_NANOS, () -> submit(change, sinceNanos, tries + 1, onAccepted));
    }
  }

  private Optional<SimulatedNode> randomNode() {
    List<SimulatedNode> nodes = fleet.nodes();
    for (int attempt = 0; attempt < 4; attempt++) {
      SimulatedNode node = nodes.get(random.nextInt(nodes.size()));
      if (node.isRunning()) {
        return Optional.of(node);
      }
    }
    List<SimulatedNode> running = new ArrayList<>(nodes);
    running.removeIf(node -> !node.isRunning());
    return running.isEmpty()
        ? Optional.empty()
        : Optional.of(running.get(random.nextInt(running.size())));
  }

  /** How many submissions ended how. */
  Map<String, Integer> outcomes() {
    return outcomes;
  }
}
