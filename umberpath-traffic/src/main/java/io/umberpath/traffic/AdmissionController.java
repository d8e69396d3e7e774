package io.umberpath.traffic;

import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import java.util.List;

/**
 * Admission control at the node beside a backend: decides which requests get one of its slots. A
 * request refused here certainly did not run. The owner synchronizes access.
 */
public interface AdmissionController {
  /**
   * A request for a slot.
   *
   * @param id unique per attempt in this process
   * @param requestId id of the client's request, the same for all attempts
   * @param tenant tenant of the route
   * @param tier tier of the route
   * @param deadlineMillis deadline of the client, on the clock of {@code nowMillis}
   * @param expectedMicros expected time that it holds its slot, microseconds; 0 if not known
   * @param likelyMicros time that it holds its slot at most in about four cases of five,
   *     microseconds; 0 if not known
   * @param toleratedWaitMillis expected wait above which it is refused rather than queued
   * @param dueMillis due time; the earliest goes first in controllers that admit in due order. A
   *     request that is due before its target is urgent
   * @param targetMillis when its work has to be done for the response to be in time, on the same
   *     clock; requests that can still meet it go before those that cannot
   * @param refuseByMillis until when it is refused rather than served late, on the same clock: a
   *     retry of the client may then still be in time
   * @param startByMillis when it is refused if it has not started, on the same clock
   * @param nested whether another request holds a slot while it waits for this one: goes first, and
   *     waits as long as its deadline allows
   */
  record AdmissionRequest(
      long id,
      String requestId,
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
    /**
     * Creates the only attempt of a request without an expected duration that waits as long as its
     * deadline allows.
     */
    public AdmissionRequest(long id, String tenant, Tier tier, long deadlineMillis) {
      this(id, tenant, tier, deadlineMillis, 0, Long.MAX_VALUE, deadlineMillis);
    }

    /** Creates the only attempt of a request that is in time, and may start, until its deadline. */
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
          Long.toString(id),
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

  /** Decision about a request. */
  sealed interface Decision {
    /** Id of the request. */
    long id();

    /** The request has a slot now. */
    record Admitted(long id) implements Decision {}

    /** The request is queued; another decision follows. */
    record Queued(long id) implements Decision {}

    /**
     * The request was refused and did not run.
     *
     * @param reason overloaded, deadline or draining
     * @param retryAfterMillis earliest useful retry at this backend; 0 to try another one at once
     */
    record Refused(long id, Verdict.Reason reason, long retryAfterMillis) implements Decision {}
  }

  /** Handles a request; the first decision is its own, others may follow for queued requests. */
  List<Decision> submit(long nowMillis, AdmissionRequest request);

  /** Releases the slot of a completed request. */
  List<Decision> release(long nowMillis, long id, long serviceMicros);

  /** Cancels a queued request; returns nothing if it is not queued. */
  List<Decision> cancel(long nowMillis, long id);

  /** Refuses queued requests that can no longer be served in time. Call it periodically. */
  List<Decision> tick(long nowMillis);

  /** Starts draining: refuses all new and queued requests; running ones finish. */
  List<Decision> drain(long nowMillis);

  /**
   * Changes the number of slots; running requests are not affected.
   *
   * @param newSlots requests that run concurrently from now on, at least 1
   */
  List<Decision> resize(long nowMillis, int newSlots);

  /** Number of requests that hold a slot. */
  int running();

  /** Number of queued requests. */
  int queued();

  /** Mean time that a request holds its slot, microseconds. */
  long meanServiceMicros();
}
