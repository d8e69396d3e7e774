package io.umberpath.traffic;

import io.umberpath.model.Verdict.Reason;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Admission control with slots and a bounded queue. Nested requests go first, since another request
 * holds a slot for each of them. Of the rest, requests that can still meet their target latency go
 * first, in due order; the others are served with the remaining capacity and refused once requests
 * wait that can still be in time. An overload thus makes some requests late or refused instead of
 * all of them late. A late request that is urgent still goes before less urgent ones: else the most
 * urgent requests would be the ones that a shortage leaves unserved. The owner synchronizes access.
 *
 * <p>Invariant: a request waits only while every slot is taken or kept for nested requests, or the
 * rate of starts is limited.
 */
final class DueOrderAdmissionController implements AdmissionController {
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final Comparator<AdmissionRequest> DUE_FIRST =
      Comparator.comparingLong(AdmissionRequest::dueMillis).thenComparingLong(AdmissionRequest::id);

  private final AdmissionSettings settings;
  private final StartLimiter startLimiter;
  private final ServiceTimeEstimate serviceTime;
  private final TreeSet<AdmissionRequest> nested = new TreeSet<>(DUE_FIRST);
  private final TreeSet<AdmissionRequest> onTime = new TreeSet<>(DUE_FIRST);
  private final TreeSet<AdmissionRequest> lateUrgent = new TreeSet<>(DUE_FIRST);
  private final TreeSet<AdmissionRequest> late = new TreeSet<>(DUE_FIRST);
  private final Set<Long> running = new HashSet<>();
  private final NestedSlotReserve nestedReserve = new NestedSlotReserve();
  private final OverloadBackoff backoff;
  private final RetrySchedule retrySchedule = new RetrySchedule();
  private int slots;
  private boolean draining;

  DueOrderAdmissionController(AdmissionSettings settings, StartLimiter startLimiter) {
    this.settings = settings;
    this.startLimiter = startLimiter;
    this.slots = settings.slots();
    this.backoff = new OverloadBackoff(settings.maxRetryAfterMillis());
    this.serviceTime = new ServiceTimeEstimate(settings.initialServiceMicros());
  }

  @Override
  public List<Decision> submit(long nowMillis, AdmissionRequest request) {
    if (draining) {
      return List.of(new Decision.Refused(request.id(), Reason.DRAINING, 0));
    }
    if (request.deadlineMillis() <= nowMillis) {
      return List.of(new Decision.Refused(request.id(), Reason.DEADLINE, 0));
    }
    if (isNext(request) && canStart(nowMillis, request.nested())) {
      start(nowMillis, request);
      backoff.recordOutcome(false);
      return List.of(new Decision.Admitted(request.id()));
    }
    if (request.nested()) {
      return List.of(decideNested(nowMillis, request));
    }
    List<Decision> decisions = new ArrayList<>();
    decisions.add(decideRegular(nowMillis, request));
    demote(nowMillis, decisions);
    return decisions;
  }

  /** Whether a new request goes before all that are queued. */
  private boolean isNext(AdmissionRequest request) {
    return request.nested() ? nested.isEmpty() : queued() == 0;
  }

  private boolean canStart(long nowMillis, boolean isNested) {
    return running.size() < slots
        && (isNested || hasSlotForOthers(nowMillis))
        && startLimiter.canStart(nowMillis);
  }

  private boolean hasSlotForOthers(long nowMillis) {
    int others = running.size() - nestedReserve.running();
    return others < nestedReserve.slotsForOthers(nowMillis, slots);
  }

  private void start(long nowMillis, AdmissionRequest request) {
    running.add(request.id());
    if (request.nested()) {
      nestedReserve.recordStart(nowMillis, request.id());
    }
    startLimiter.recordStart(nowMillis);
  }

  private Decision decideRegular(long nowMillis, AdmissionRequest request) {
    int lateAhead = isUrgent(request) ? 0 : lateUrgent.size();
    int ahead = nested.size() + lateAhead + onTime.headSet(request).size();
    double waitMillis = waitMillis(nowMillis, ahead);
    boolean isTimely = canMeetTarget(nowMillis, request, waitMillis);
    boolean isRefused =
        !isTimely
            && !outranksOnTime(request)
            && (nowMillis <= request.refuseByMillis() || !onTime.isEmpty());
    backoff.recordOutcome(isRefused);
    if (isRefused) {
      return refusalOfOverload(nowMillis, request);
    }
    TreeSet<AdmissionRequest> queue = isTimely ? onTime : lateQueue(request);
    if (!isTimely) {
      waitMillis = waitMillis(nowMillis, lateRequestsAhead(queue, request));
    }
    if (!canStartInTime(nowMillis, request, waitMillis)) {
      return refusalOfOverload(nowMillis, request);
    }
    return enqueue(nowMillis, queue, request, waitMillis);
  }

  /** Whether the request is due before its target, as its route has a high priority. */
  private static boolean isUrgent(AdmissionRequest request) {
    return request.dueMillis() < request.targetMillis();
  }

  /** Whether a late request goes before those that are on time, none of which is as urgent. */
  private boolean outranksOnTime(AdmissionRequest request) {
    return isUrgent(request) && !isUrgentOnTimeQueued();
  }

  private boolean isUrgentOnTimeQueued() {
    return onTime.stream().anyMatch(DueOrderAdmissionController::isUrgent);
  }

  private TreeSet<AdmissionRequest> lateQueue(AdmissionRequest request) {
    return outranksOnTime(request) ? lateUrgent : late;
  }

  private int lateRequestsAhead(TreeSet<AdmissionRequest> queue, AdmissionRequest request) {
    int onTimeAhead = queue == late ? lateUrgent.size() + onTime.size() : 0;
    return nested.size() + onTimeAhead + queue.headSet(request).size();
  }

  private Decision decideNested(long nowMillis, AdmissionRequest request) {
    double waitMillis = waitMillis(nowMillis, nested.headSet(request).size());
    return canMeetDeadline(nowMillis + waitMillis, request)
        ? enqueue(nowMillis, nested, request, waitMillis)
        : refusalOfOverload(nowMillis, request);
  }

  private Decision enqueue(
      long nowMillis,
      TreeSet<AdmissionRequest> queue,
      AdmissionRequest request,
      double waitMillis) {
    if (waitMillis > request.toleratedWaitMillis() || queued() >= settings.queueLimit()) {
      return refusalOfOverload(nowMillis, request);
    }
    queue.add(request);
    return new Decision.Queued(request.id());
  }

  @Override
  public List<Decision> release(long nowMillis, long id, long serviceMicros) {
    if (!running.remove(id)) {
      return List.of();
    }
    nestedReserve.recordEnd(nowMillis, id);
    if (serviceMicros > 0) {
      serviceTime.add(serviceMicros);
    }
    return dispatch(nowMillis);
  }

  @Override
  public List<Decision> cancel(long nowMillis, long id) {
    boolean wasQueued =
        queues().stream().anyMatch(queue -> queue.removeIf(request -> request.id() == id));
    return wasQueued ? List.of(new Decision.Refused(id, Reason.CANCELLED, 0)) : List.of();
  }

  @Override
  public List<Decision> tick(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    demote(nowMillis, decisions);
    refuseExpired(nowMillis, nested, 0, decisions);
    refuseExpired(nowMillis, lateUrgent, nested.size(), decisions);
    refuseExpired(nowMillis, late, nested.size() + lateUrgent.size() + onTime.size(), decisions);
    decisions.addAll(dispatch(nowMillis));
    return decisions;
  }

  private void refuseExpired(
      long nowMillis,
      TreeSet<AdmissionRequest> queue,
      int requestsAhead,
      List<Decision> decisions) {
    int ahead = requestsAhead;
    for (Iterator<AdmissionRequest> waiting = queue.iterator(); waiting.hasNext(); ) {
      AdmissionRequest request = waiting.next();
      if (canStartInTime(nowMillis, request, certainWaitMillis(nowMillis, ahead))) {
        ahead++;
      } else {
        waiting.remove();
        decisions.add(refusalOfExpired(nowMillis, request));
      }
    }
  }

  /** The queues, in the order in which they are served. */
  private List<TreeSet<AdmissionRequest>> queues() {
    return List.of(nested, lateUrgent, onTime, late);
  }

  @Override
  public List<Decision> drain(long nowMillis) {
    draining = true;
    List<Decision> decisions = new ArrayList<>();
    for (TreeSet<AdmissionRequest> queue : queues()) {
      queue.forEach(
          request -> decisions.add(new Decision.Refused(request.id(), Reason.DRAINING, 0)));
      queue.clear();
    }
    return decisions;
  }

  @Override
  public List<Decision> resize(long nowMillis, int newSlots) {
    SettingChecks.requireAtLeast("slots", newSlots, 1);
    slots = newSlots;
    return dispatch(nowMillis);
  }

  @Override
  public int running() {
    return running.size();
  }

  @Override
  public int queued() {
    return nested.size() + lateUrgent.size() + onTime.size() + late.size();
  }

  @Override
  public long meanServiceMicros() {
    return Math.round(serviceTime.meanMicros());
  }

  private List<Decision> dispatch(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    demote(nowMillis, decisions);
    while (queued() > 0 && canStart(nowMillis, !nested.isEmpty())) {
      AdmissionRequest next = pollNext();
      if (canStartInTime(nowMillis, next, 0)) {
        start(nowMillis, next);
        decisions.add(new Decision.Admitted(next.id()));
      } else {
        decisions.add(refusalOfExpired(nowMillis, next));
      }
    }
    return decisions;
  }

  private AdmissionRequest pollNext() {
    for (TreeSet<AdmissionRequest> queue : queues()) {
      if (!queue.isEmpty()) {
        return queue.pollFirst();
      }
    }
    throw new IllegalStateException("no request is queued");
  }

  /**
   * Refuses requests that can no longer meet their target, or moves them to a late queue. Late
   * requests are refused while others wait that are on time: a slot would be taken from these for
   * the whole time of the late request, and its client learns sooner that it has to come back.
   */
  private void demote(long nowMillis, List<Decision> decisions) {
    int ahead = nested.size() + lateUrgent.size();
    for (Iterator<AdmissionRequest> waiting = onTime.iterator(); waiting.hasNext(); ) {
      AdmissionRequest request = waiting.next();
      if (canMeetTarget(nowMillis, request, certainWaitMillis(nowMillis, ahead))) {
        ahead++;
        continue;
      }
      waiting.remove();
      if (nowMillis <= request.refuseByMillis() && !outranksOnTime(request)) {
        decisions.add(refusalOfOverload(nowMillis, request));
      } else {
        lateQueue(request).add(request);
      }
    }
    if (isUrgentOnTimeQueued()) {
      late.addAll(lateUrgent);
      lateUrgent.clear();
    }
    if (!onTime.isEmpty()) {
      late.forEach(request -> decisions.add(refusalOfOverload(nowMillis, request)));
      late.clear();
    }
  }

  private boolean isRateLimited() {
    return startLimiter.intervalMillis() > 0;
  }

  /**
   * Least wait behind that many requests. Slots may become free at any time, but starts at a
   * limited rate do not.
   */
  private double certainWaitMillis(long nowMillis, int ahead) {
    return isRateLimited() ? startLimiter.waitMillis(nowMillis, ahead) : 0;
  }

  private static boolean canMeetTarget(
      long nowMillis, AdmissionRequest request, double waitMillis) {
    return nowMillis + waitMillis + request.likelyMicros() / MICROS_PER_MILLI
        <= request.targetMillis();
  }

  private static boolean canStartInTime(
      long nowMillis, AdmissionRequest request, double waitMillis) {
    double startMillis = nowMillis + waitMillis;
    boolean startsInTime = request.nested() || startMillis <= request.startByMillis();
    return startsInTime && canMeetDeadline(startMillis, request);
  }

  private static boolean canMeetDeadline(double startMillis, AdmissionRequest request) {
    return startMillis < request.deadlineMillis()
        && startMillis + expectedMillis(request) <= request.deadlineMillis();
  }

  private static double expectedMillis(AdmissionRequest request) {
    return request.expectedMicros() / MICROS_PER_MILLI;
  }

  /**
   * Refuses a request that has waited too long; a retry-after is given only if its work still fits
   * before the deadline.
   */
  private Decision refusalOfExpired(long nowMillis, AdmissionRequest request) {
    boolean fits = nowMillis + expectedMillis(request) < request.deadlineMillis();
    return fits
        ? refusalOfOverload(nowMillis, request)
        : new Decision.Refused(request.id(), Reason.DEADLINE, 0);
  }

  /** Expected wait behind that many requests plus the end of a running one. */
  private double waitMillis(long nowMillis, int ahead) {
    double slotWaitMillis = (ahead + 1) * serviceTime.meanMicros() / slots / MICROS_PER_MILLI;
    return Math.max(slotWaitMillis, startLimiter.waitMillis(nowMillis, ahead));
  }

  private Decision refusalOfOverload(long nowMillis, AdmissionRequest request) {
    startLimiter.recordRefusal(nowMillis);
    long retryAfterMillis =
        isRateLimited() ? scheduleRetry(nowMillis, request) : backOff(nowMillis, request);
    return new Decision.Refused(request.id(), Reason.OVERLOADED, retryAfterMillis);
  }

  /** At a known rate, each refused client gets a time of its own at which a start is free. */
  private long scheduleRetry(long nowMillis, AdmissionRequest request) {
    double latestMillis = request.deadlineMillis() - expectedMillis(request);
    double retryMillis =
        retrySchedule.reserve(
            request.requestId(),
            nowMillis + waitMillis(nowMillis, queued()),
            startLimiter.intervalMillis(),
            latestMillis);
    return Math.max(settings.minRetryAfterMillis(), Math.round(retryMillis - nowMillis));
  }

  private long backOff(long nowMillis, AdmissionRequest request) {
    long waitMillis = Math.round(waitMillis(nowMillis, nested.size() + onTime.size()));
    long retryAfterMillis =
        Math.max(settings.minRetryAfterMillis(), waitMillis + backoff.backoffMillis(request.id()));
    return Math.min(settings.maxRetryAfterMillis(), retryAfterMillis);
  }
}
