package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlOutput;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.FleetState;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Version;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One run: the fleet forms, gets its content, then lives through load and faults for the duration,
 * and in the end must agree. Stops at the first violation. Single-threaded; use an instance once.
 */
public final class Simulation {
  private static final long START_SPREAD_NANOS = Durations.SECOND;
  private static final int STARTS_PER_SECOND = 300;
  private static final long FORMATION_BOUND_NANOS = 120 * Durations.SECOND;
  private static final long CONTENT_SPREAD_NANOS = 2 * Durations.SECOND;
  private static final long SETTLE_BOUND_NANOS = 30 * Durations.SECOND;
  private static final long OPERATOR_PATIENCE_NANOS = 20 * Durations.SECOND;
  private static final long POLL_NANOS = 100 * Durations.MILLI;
  private static final long AFTER_FAULTS_NANOS = 2 * Durations.SECOND;

  private final SimulationSettings settings;
  private final EventQueue queue = new EventQueue();
  private final ViolationLog violations = new ViolationLog(queue);
  private final InvariantChecker checker;
  private final ConvergenceTracker convergence = new ConvergenceTracker();
  private final TrafficMeter meter = new TrafficMeter();
  private final EventDigest digest = new EventDigest();
  private final EventTail tail = new EventTail();
  private final SplittableRandom random;
  private final Fleet fleet;
  private final VirtualPlatform platform;
  private final Operators operators;
  private final FaultInjector faults;
  private OperatorChange probe;
  private long formationMillis = -1;
  private long recoveryMillis = -1;
  private int reformCalls;

  /** Prepares a run of the state machine that the settings name. */
  public Simulation(SimulationSettings settings) {
    this(settings, StateMachines.factory(settings.subject()));
  }

  Simulation(SimulationSettings settings, ControlNodeFactory factory) {
    this.settings = settings;
    this.checker = new InvariantChecker(settings, violations);
    this.random = new SplittableRandom(settings.seed());
    this.fleet =
        new Fleet(settings, queue, random.split(), factory, meter, new Observer(), violations);
    this.platform =
        new VirtualPlatform(random.split(), fleet.nodes(), settings.profile().services());
    fleet.setPlatform(platform);
    this.operators =
        new Operators(settings, queue, random.split(), fleet, checker.ledger(), convergence);
    this.faults = new FaultInjector(queue, random.split(), fleet, platform);
  }

  /** Runs to the end or to the first violation. */
  public SimulationReport run() {
    long began = System.nanoTime();
    form();
    createContent();
    live();
    settle();
    double wallSeconds = (System.nanoTime() - began) / (double) Durations.SECOND;
    return report(wallSeconds);
  }

  /** The last events, for a trace. */
  List<EventTail.Line> lastEvents() {
    return tail.lines();
  }

  private void form() {
    List<SimulatedNode> nodes = List.copyOf(fleet.nodes());
    for (SimulatedNode node : nodes.subList(0, settings.firstMembers())) {
      queue.after(random.nextLong(START_SPREAD_NANOS), () -> fleet.start(node));
    }
    long gap = Durations.SECOND / STARTS_PER_SECOND;
    long next = START_SPREAD_NANOS;
    for (SimulatedNode node : nodes.subList(settings.firstMembers(), nodes.size())) {
      next += gap;
      queue.after(next, () -> fleet.start(node));
    }
    runUntilHolds(this::hasFormed, FORMATION_BOUND_NANOS, "fleet-forms");
    formationMillis = queue.nowNanos() / Durations.MILLI;
  }

  private boolean hasFormed() {
    boolean complete =
        !settings.isChecked() || checker.history().newest().roster().size() == settings.nodes();
    return complete && fleet.leader().isPresent() && isUniform();
  }

  private void createContent() {
    operators.createInitialContent(CONTENT_SPREAD_NANOS);
    runFor(CONTENT_SPREAD_NANOS + Durations.SECOND);
    runUntilHolds(this::isUniform, SETTLE_BOUND_NANOS, "content-in-force");
  }

  private void live() {
    meter.start(queue.nowNanos());
    convergence.start();
    operators.start();
    faults.plan(settings.faults());
    new EndpointChurn(settings, queue, random.split(), fleet, platform).start();
    scheduleRoleSamples();
    long faultsEnd = settings.faults().stream().mapToLong(FaultEvent::endNanos).max().orElse(-1L);
    long end = queue.nowNanos() + settings.durationNanos();
    if (faultsEnd >= 0) {
      runFor(faultsEnd + AFTER_FAULTS_NANOS);
      long healed = queue.nowNanos() - AFTER_FAULTS_NANOS;
      operators.submit(operators.probe(), accepted -> probe = accepted);
      recover();
      recoveryMillis = (queue.nowNanos() - healed) / Durations.MILLI;
    }
    queue.runUntil(Math.max(end, queue.nowNanos()), this::isBroken);
    operators.stop();
    meter.stop(queue.nowNanos());
  }

  /**
   * Waits until the fleet works again. If machines are gone for good, so that it may have to wait
   * for an operator's decision, the operator gives them up after a while.
   */
  private void recover() {
    boolean diedForGood = fleet.nodes().stream().anyMatch(node -> !node.isAlive());
    if (diedForGood) {
      long patience = queue.nowNanos() + OPERATOR_PATIENCE_NANOS;
      while (!isBroken() && !hasRecovered() && queue.nowNanos() < patience) {
        runFor(POLL_NANOS);
      }
      if (!hasRecovered()) {
        reformCalls++;
        faults.reform();
      }
    }
    runUntilHolds(this::hasRecovered, SETTLE_BOUND_NANOS, "converges-after-faults");
  }

  private void settle() {
    runUntilHolds(this::isUniform, SETTLE_BOUND_NANOS, "converges-in-the-end");
  }

  private boolean isBroken() {
    return !violations.isEmpty();
  }

  private void runFor(long nanos) {
    queue.runUntil(queue.nowNanos() + nanos, this::isBroken);
  }

  private void runUntilHolds(
      java.util.function.BooleanSupplier condition, long boundNanos, String invariant) {
    long bound = queue.nowNanos() + boundNanos;
    while (!isBroken() && !condition.getAsBoolean()) {
      if (queue.nowNanos() >= bound) {
        violations.add(invariant, "not within " + boundNanos / Durations.SECOND + " s; " + doubt());
        return;
      }
      runFor(POLL_NANOS);
    }
  }

  /** Whether every process runs the newest pair. */
  private boolean isUniform() {
    Version newest = checker.history().newest().version();
    long revision = platform.document().revision();
    return fleet.nodes().stream()
        .filter(SimulatedNode::isAlive)
        .allMatch(node -> node.active.equals(newest) && node.activeRevision == revision);
  }

  private boolean hasRecovered() {
    if (probe == null || fleet.leader().isEmpty()) {
      return false;
    }
    Version version = probe.accepted;
    return fleet.nodes().stream()
        .filter(SimulatedNode::isAlive)
        .noneMatch(node -> version.isAfter(node.active));
  }

  /** Says which processes lag. */
  private String doubt() {
    FleetState newest = checker.history().newest();
    StringBuilder text = new StringBuilder();
    text.append("newest ").append(newest.version()).append('/');
    text.append(platform.document().revision()).append(", roster ");
    text.append(newest.roster().size()).append(", leader ");
    text.append(fleet.leader().map(Simulation::describe).orElse("none"));
    fleet.nodes().stream()
        .filter(SimulatedNode::isAlive)
        .filter(
            node ->
                !node.active.equals(newest.version())
                    || node.activeRevision != platform.document().revision())
        .limit(12)
        .forEach(node -> text.append("; ").append(describe(node)));
    return text.toString();
  }

  private static String describe(SimulatedNode node) {
    ControlStatus status = node.status;
    return "node "
        + node.index
        + " "
        + status.role()
        + " slot "
        + status.self().slot()
        + " epoch "
        + status.epoch()
        + " held "
        + status.heldVersion()
        + " active "
        + node.active
        + "/"
        + node.activeRevision
        + " document "
        + status.document().revision()
        + " parent "
        + status.parent().map(parent -> parent.address().toString()).orElse("none");
  }

  private void scheduleRoleSamples() {
    queue.after(
        Durations.SECOND,
        () -> {
          meter.sampleRoles(fleet.nodes());
          scheduleRoleSamples();
        });
  }

  private SimulationReport report(double wallSeconds) {
    FleetState newest = checker.history().newest();
    return new SimulationReport(
        settings,
        formationMillis,
        convergence.inForce(),
        convergence.untilAccepted(),
        recoveryMillis,
        meter.bytesPerSecond(fleet.nodes()),
        meter.roles(fleet.nodes()),
        meter.messages(),
        meter.kinds(),
        new SimulationReport.StateSizes(
            newest.resources().size(),
            newest.roster().size(),
            newest.answered().size(),
            checker.history().states().size(),
            StateSizer.bytes(newest),
            StateSizer.bytes(platform.document())),
        operators.outcomes(),
        checker.peakReaders(),
        checker.losses(),
        reformCalls,
        digest.events(),
        digest.finish(),
        violations.found(),
        wallSeconds);
  }

  /** Passes what the fleet does to the checker, the meters and the operators. */
  private final class Observer implements FleetObserver {
    @Override
    public void handled(SimulatedNode node, ControlInput input, List<ControlOutput> outputs) {
      digest.add(queue.nowNanos(), node.index, outputs.size(), input.getClass().getName().length());
      tail.add(queue.nowNanos(), node, input, outputs);
      if (checker.handled(node, input, outputs)) {
        convergence.committed(node.status.committed().version(), fleet.nodes(), queue.nowNanos());
      }
    }

    @Override
    public void activating(SimulatedNode node, ProxySnapshot snapshot) {
      checker.activating(node, snapshot);
      convergence.activating(node, snapshot.version(), queue.nowNanos());
    }

    @Override
    public void answered(SimulatedNode node, long ticket, ChangeResult result) {
      operators.answered(node, ticket, result);
    }

    @Override
    public void reading(SimulatedNode node) {
      checker.reading(node, fleet);
    }

    @Override
    public void sent(SimulatedNode from, SimulatedNode to, int size) {
      digest.add(queue.nowNanos(), from.index, to.index, size);
      faults.sent(from);
    }

    @Override
    public void dying(List<SimulatedNode> nodes) {
      nodes.forEach(node -> convergence.dying(node, queue.nowNanos()));
    }

    @Override
    public void died(List<SimulatedNode> nodes) {
      checker.died(fleet.nodes());
    }

    @Override
    public void started(SimulatedNode node) {
      digest.add(queue.nowNanos(), node.index, 0, node.incarnation);
    }

    @Override
    public void failed(SimulatedNode node, ControlInput input, RuntimeException cause) {
      StackTraceElement[] trace = cause.getStackTrace();
      violations.add(
          "state-machine-throws",
          node
              + " at "
              + input.getClass().getSimpleName()
              + ": "
              + cause
              + " at "
              + (trace.length > 0 ? trace[0] : "unknown place"));
    }
  }
}
