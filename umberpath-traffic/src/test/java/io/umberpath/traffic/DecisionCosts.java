package io.umberpath.traffic;

import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.Pool;
import io.umberpath.model.ProxySnapshot.BackendView;
import io.umberpath.model.ProxySnapshot.PoolView;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.LongConsumer;

/** Microbenchmark: prints the time per decision; for docs/measurements/traffic-decisions.md. */
final class DecisionCosts {
  private static final int CALLS = 1_000_000;
  private static final int ROUNDS = 5;
  private static final Verdict COMPLETED = new Verdict.Completed();

  private DecisionCosts() {}

  public static void main(String[] arguments) {
    for (int backends : new int[] {5, 7, 100}) {
      LoadBalancer balancer = LoadBalancers.create(BalancerSettings.of("edge", "a"));
      PoolView pool = pool(backends);
      measure(
          "pick, started, finished; back ends: " + backends,
          i -> {
            String id = balancer.pick(i, pool, Tier.BASIC, i, Set.of()).get().address().id();
            balancer.started(i, id);
            balancer.finished(i, id, COMPLETED, 5_000);
          });
    }
    AdmissionController free = AdmissionControllers.create(AdmissionSettings.forSlots(6));
    measure("ask and release, free slots", i -> submitAndRelease(free, i, i));
    AdmissionController full = AdmissionControllers.create(AdmissionSettings.forSlots(6));
    for (int i = 1; i <= 26; i++) {
      full.submit(
          0,
          new AdmissionController.AdmissionRequest(-i, "t" + i % 5, Tier.STANDARD, Long.MAX_VALUE));
    }
    measure(
        "ask and cancel, full slots, 20 queued",
        i -> {
          full.submit(
              i, new AdmissionController.AdmissionRequest(i, "t", Tier.STANDARD, Long.MAX_VALUE));
          full.cancel(i, i);
        });
    RetryPolicy retries = RetryPolicies.create(RetrySettings.DEFAULT);
    RetryPolicy.FailedAttempt failed =
        new RetryPolicy.FailedAttempt(
            new Verdict.NotRun(Verdict.Reason.OVERLOADED), false, 1, true, Long.MAX_VALUE);
    measure(
        "request and retry decision",
        i -> {
          retries.requestStarted(i);
          retries.mayRetry(i, failed);
        });
  }

  private static void submitAndRelease(AdmissionController controller, long now, long id) {
    controller.submit(
        now, new AdmissionController.AdmissionRequest(id, "t", Tier.STANDARD, Long.MAX_VALUE));
    controller.release(now, id, 5_000);
  }

  /** Prints the best of several rounds after a warm-up round. */
  private static void measure(String label, LongConsumer call) {
    double best = Double.MAX_VALUE;
    long number = 1;
    for (int round = 0; round <= ROUNDS; round++) {
      long start = System.nanoTime();
      for (int i = 0; i < CALLS; i++) {
        call.accept(number++);
      }
      double nanos = (System.nanoTime() - start) / (double) CALLS;
      best = round == 0 ? best : Math.min(best, nanos);
    }
    System.out.printf(Locale.ROOT, "| ns, %s | %.0f |%n", label, best);
  }

  private static PoolView pool(int backends) {
    List<BackendView> views = new ArrayList<>();
    for (int i = 0; i < backends; i++) {
      String zone = String.valueOf((char) ('a' + i % 4));
      views.add(new BackendView(new BackendAddress("b" + i, "::1", 1, zone, "::1", 1), false));
    }
    return new PoolView(new Pool("p", "t", Tier.STANDARD, "s", 6, 130), views);
  }
}
