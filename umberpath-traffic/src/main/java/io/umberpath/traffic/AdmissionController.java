package io.umberpath.traffic;

import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import java.util.List;

/**
 * Decides at the node beside a back end which requests get one of its slots. Owner synchronizes.
 * What is refused here certainly did not run.
 */
public interface AdmissionController {
  /**
   * A request asks for a slot.
   *
   * @param id unique per request in this process
   * @param tenant tenant of the route
   * @param tier tier of the route
   * @param deadlineMillis when its caller gives up, on the clock of {@code nowMillis}
   * @param expectedMicros how long it is expected to hold its slot, microseconds; 0 if not known
   * @param likelyMicros how long it holds its slot at most in about four cases of five,
   *     microseconds; 0 if not known
   * @param toleratedWaitMillis expected wait beyond which it is refused rather than queued
   * @param dueMillis what is due earlier goes first, where requests are taken in that order
   * @param targetMillis when its work has to be done for its answer to be in time, on the same
   *     clock; what can still be in time goes before what cannot
   * @param refuseByMillis until when it is refused rather than served late, on the same clock: its
   *     caller comes back and may be in time then
   * @param startByMillis when it is refused if it has not begun, on the same clock
   * @param nested whether another request holds a slot while it waits for this one: goes first, and
   *     waits as long as its deadline allows
   */
  record AdmissionRequest(
      long id,
      String tenant,
      Tier tier,
      long deadlineMillis,
      long expectedMicros,
      long likelyMicros,
      long toleratedWaitMillis,
      long dueMillis,
      long targetMillis,
      long refuseByMillis,
      long startByMillis,
      boolean nested) {
    /** One of which nothing is expected and that waits as long as its deadline allows. */
    public AdmissionRequest(long id, String tenant, Tier tier, long deadlineMillis) {
      this(id, tenant, tier, deadlineMillis, 0, Long.MAX_VALUE, deadlineMillis);
    }

    /** One that is in time, and may begin, until its deadline. */
    public AdmissionRequest(
        long id,
        String tenant,
        Tier tier,
        long deadlineMillis,
        long expectedMicros,
        long toleratedWaitMillis,
        long dueMillis) {
      this(
          id,
          tenant,
          tier,
          deadlineMillis,
          expectedMicros,
          expectedMicros,
          toleratedWaitMillis,
          dueMillis,
          deadlineMillis,
          Long.MIN_VALUE,
          deadlineMillis,
          false);
    }
  }

  /** What becomes of a request. */
  sealed interface Decision {
    /** The request it is about. */
    long id();

    /** It has a slot now. */
    record Admitted(long id) implements Decision {}

    /** It waits; another decision follows. */
    record Queued(long id) implements Decision {}

    /**
     * It did not run.
     *
     * @param reason overloaded, deadline or draining
     * @param retryAfterMillis when coming back makes sense; 0 if elsewhere at once
     */
    record Refused(long id, Verdict.Reason reason, long retryAfterMillis) implements Decision {}
  }

  /** Handles an ask; the first decision is its own, others may follow for queued ones. */
  List<Decision> ask(long nowMillis, AdmissionRequest request);

  /** A request that held a slot has ended. */
  List<Decision> release(long nowMillis, long id, long serviceMicros);

  /** A queued request's caller went away; nothing if it is not queued. */
  List<Decision> cancel(long nowMillis, long id);

  /** Time has passed: refuses what can no longer be met. */
  List<Decision> tick(long nowMillis);

  /**
   * From now on refuses every new ask as draining; queued ones are refused, running ones finish.
   */
  List<Decision> drain(long nowMillis);

  /**
   * The pool's slots per back end have changed; running requests are not touched.
   *
   * @param newSlots requests that run at a time from now on, at least 1
   */
  List<Decision> resize(long nowMillis, int newSlots);

  /** Requests that hold a slot. */
  int running();

  /** Requests that wait. */
  int queued();

  /** Mean time that a request holds its slot, microseconds. */
  long meanServiceMicros();
}
