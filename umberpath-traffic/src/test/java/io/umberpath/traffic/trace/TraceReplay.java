package io.umberpath.traffic.trace;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.Pool;
import io.umberpath.model.ProxySnapshot.BackendView;
import io.umberpath.model.ProxySnapshot.PoolView;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.umberpath.traffic.AdmissionController;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.AdmissionControllers;
import io.umberpath.traffic.AdmissionSettings;
import io.umberpath.traffic.BalancerSettings;
import io.umberpath.traffic.ChainRetryBudget;
import io.umberpath.traffic.LoadBalancer;
import io.umberpath.traffic.LoadBalancers;
import io.umberpath.traffic.RetryPolicies;
import io.umberpath.traffic.RetryPolicy;
import io.umberpath.traffic.RetrySettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Replays the lines of one trace: admission control with 2 slots and 6 queue places, a balancer in
 * zone {@code a} over the pool that the line {@code pool} defines, and a retry policy.
 */
final class TraceReplay {
  private final AdmissionController admission =
      AdmissionControllers.create(new AdmissionSettings(2, 6, 4, 10_000, 20, 5_000));
  private final LoadBalancer balancer = LoadBalancers.create(BalancerSettings.of("edge", "a"));
  private final RetryPolicy retries = RetryPolicies.create(RetrySettings.DEFAULT);
  private PoolView pool;
  private long counter;

  /** Executes one line and returns the decisions. */
  List<String> execute(TraceLine line) {
    return switch (line.call()) {
      case "ask" ->
          formatAll(
              admission.submit(
                  line.at(),
                  new AdmissionRequest(line.id(), line.tenant(), line.tier(), line.deadline())));
      case "release" -> formatAll(admission.release(line.at(), line.id(), line.micros()));
      case "cancel" -> formatAll(admission.cancel(line.at(), line.id()));
      case "tick" -> formatAll(admission.tick(line.at()));
      case "drain" -> formatAll(admission.drain(line.at()));
      case "resize" -> formatAll(admission.resize(line.at(), line.number().intValue()));
      case "request" -> {
        retries.requestStarted(line.at(), new ChainRetryBudget(line.number().intValue()));
        yield List.of();
      }
      case "failed" -> List.of(mayRetry(line) ? "retry" : "give up");
      default -> executeBalancerCall(line);
    };
  }

  private boolean mayRetry(TraceLine line) {
    RetryPolicy.FailedAttempt failed =
        new RetryPolicy.FailedAttempt(
            verdict(line.verdict()),
            line.names().contains("repeatable"),
            line.id().intValue(),
            !line.names().contains("body-gone"),
            line.deadline());
    return retries.mayRetry(line.at(), failed, new ChainRetryBudget(line.number().intValue()));
  }

  private List<String> executeBalancerCall(TraceLine line) {
    switch (line.call()) {
      case "pool" -> pool = pool(line.names());
      case "pick" -> {
        return List.of(pick(line));
      }
      case "started" -> balancer.started(line.at(), line.backend());
      case "finished" ->
          balancer.finished(line.at(), line.backend(), verdict(line.verdict()), line.micros());
      case "shed" -> balancer.backOff(line.at(), line.backend(), line.tier(), line.deadline());
      case "observed" -> balancer.updateReports(line.at(), List.of(createReport(line)));
      default -> throw new IllegalArgumentException("call '" + line.call() + "' is not known");
    }
    return List.of();
  }

  private String pick(TraceLine line) {
    Set<String> excluded = line.names() == null ? Set.of() : Set.copyOf(line.names());
    return balancer
        .pick(line.at(), pool, line.tier(), line.number(), excluded)
        .fold(Enum::name, view -> view.address().id());
  }

  private ObservedBackend createReport(TraceLine line) {
    ObservedBackend.Phase phase = ObservedBackend.Phase.valueOf(line.names().get(0));
    return new ObservedBackend(line.backend(), 1, ++counter, phase, line.number().intValue());
  }

  /** Creates a pool of backends given as {@code id@zone}. */
  private static PoolView pool(List<String> names) {
    List<BackendView> views = new ArrayList<>();
    for (String name : names) {
      String[] parts = name.split("@");
      views.add(new BackendView(new BackendAddress(parts[0], "::1", 1, parts[1], "::1", 1), false));
    }
    return new PoolView(new Pool("p", "t", Tier.STANDARD, "s", 6, 130), views);
  }

  private static Verdict verdict(String text) {
    String[] parts = text.split(" ");
    return switch (parts[0]) {
      case "Completed" -> new Verdict.Completed();
      case "NotRun" -> new Verdict.NotRun(Verdict.Reason.valueOf(parts[1]));
      case "MayHaveRun" -> new Verdict.MayHaveRun(Verdict.Reason.valueOf(parts[1]));
      default -> throw new IllegalArgumentException("verdict '" + text + "' is not known");
    };
  }

  static List<String> formatAll(List<Decision> decisions) {
    return decisions.stream().map(TraceReplay::format).toList();
  }

  private static String format(Decision decision) {
    if (decision instanceof Decision.Refused refused) {
      return "refused " + refused.id() + " " + refused.reason() + " " + refused.retryAfterMillis();
    }
    return (decision instanceof Decision.Admitted ? "admitted " : "queued ") + decision.id();
  }
}
