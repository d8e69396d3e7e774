package io.umberpath.traffic;

import io.umberpath.model.Tier;
import io.umberpath.model.Verdict.Reason;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Admission control with slots and a bounded queue in tier order; design note 0005. The owner
 * synchronizes access.
 *
 * <p>Invariant: a request waits only while every slot is taken.
 */
final class SlotAdmissionController implements AdmissionController {
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final Tier[] TIERS = Tier.values();

  private record Running(AdmissionRequest request, double chargedMicros) {}

  private final AdmissionSettings settings;
  private final ServiceTimeEstimate serviceTime;
  private final Map<Tier, TierQueue> queues = new EnumMap<>(Tier.class);
  private final int[] passedOver = new int[TIERS.length];
  private final Map<Long, Running> running = new HashMap<>();
  private int slots;
  private int queued;
  private boolean draining;

  SlotAdmissionController(AdmissionSettings settings) {
    this.settings = settings;
    this.slots = settings.slots();
    this.serviceTime = new ServiceTimeEstimate(settings.initialServiceMicros());
    for (Tier tier : TIERS) {
      queues.put(tier, new TierQueue());
    }
  }

  @Override
  public List<Decision> submit(long nowMillis, AdmissionRequest request) {
    if (running.containsKey(request.id())) {
      throw new IllegalArgumentException("request " + request.id() + " already holds a slot");
    }
    if (draining) {
      return List.of(new Decision.Refused(request.id(), Reason.DRAINING, 0));
    }
    if (request.deadlineMillis() <= nowMillis) {
      return List.of(new Decision.Refused(request.id(), Reason.DEADLINE, 0));
    }
    if (running.size() < slots) {
      double charge = serviceTime.meanMicros();
      queues.get(request.tier()).startedUncontended(request.tenant(), charge);
      return List.of(admit(request, charge));
    }
    double waitMicros = waitMicros(request);
    boolean isWaitTooLong = waitMicros / MICROS_PER_MILLI > request.toleratedWaitMillis();
    if (isWaitTooLong || !canMeetDeadline(nowMillis, request, waitMicros)) {
      return List.of(refusalOfOverload(request));
    }
    return enqueue(request);
  }

  @Override
  public List<Decision> release(long nowMillis, long id, long serviceMicros) {
    Running ended = running.remove(id);
    if (ended == null) {
      return List.of();
    }
    if (serviceMicros > 0) {
      serviceTime.add(serviceMicros);
    }
    queues
        .get(ended.request.tier())
        .finished(ended.request.tenant(), ended.chargedMicros, Math.max(0, serviceMicros));
    return dispatch(nowMillis);
  }

  @Override
  public List<Decision> cancel(long nowMillis, long id) {
    for (TierQueue queue : queues.values()) {
      if (queue.remove(id)) {
        queued--;
        return List.of(new Decision.Refused(id, Reason.CANCELLED, 0));
      }
    }
    return List.of();
  }

  @Override
  public List<Decision> tick(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    for (TierQueue queue : queues.values()) {
      for (AdmissionRequest late :
          queue.removeIf(request -> !canMeetDeadline(nowMillis, request, 0))) {
        queued--;
        decisions.add(new Decision.Refused(late.id(), Reason.DEADLINE, 0));
      }
    }
    return decisions;
  }

  @Override
  public List<Decision> drain(long nowMillis) {
    draining = true;
    List<Decision> decisions = new ArrayList<>();
    for (TierQueue queue : queues.values()) {
      for (AdmissionRequest request : queue.removeIf(all -> true)) {
        decisions.add(new Decision.Refused(request.id(), Reason.DRAINING, 0));
      }
    }
    queued = 0;
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
    return queued;
  }

  @Override
  public long meanServiceMicros() {
    return Math.round(serviceTime.meanMicros());
  }

  private Decision admit(AdmissionRequest request, double charge) {
    running.put(request.id(), new Running(request, charge));
    return new Decision.Admitted(request.id());
  }

  private List<Decision> enqueue(AdmissionRequest request) {
    List<Decision> decisions = new ArrayList<>();
    if (freePlaces(request.tier()) <= 0) {
      Optional<AdmissionRequest> evicted = evictFor(request);
      if (evicted.isEmpty()) {
        return List.of(refusalOfOverload(request));
      }
      queued--;
      decisions.add(refusalOfOverload(evicted.get()));
    }
    queues.get(request.tier()).add(request);
    queued++;
    decisions.add(0, new Decision.Queued(request.id()));
    return decisions;
  }

  /** Free queue places, less those reserved for the other tiers. */
  private int freePlaces(Tier tier) {
    int places = settings.queueLimit() - queued;
    for (Tier other : TIERS) {
      if (other != tier) {
        places -=
            Math.max(0, AdmissionSettings.RESERVED_PLACES_PER_TIER - queues.get(other).size());
      }
    }
    return places;
  }

  /**
   * Evicts a queued request: of a lower tier first; within the tier, of the tenant furthest beyond
   * its share.
   */
  private Optional<AdmissionRequest> evictFor(AdmissionRequest request) {
    for (int tier = TIERS.length - 1; tier > request.tier().ordinal(); tier--) {
      TierQueue lower = queues.get(TIERS[tier]);
      if (lower.size() > AdmissionSettings.RESERVED_PLACES_PER_TIER) {
        return lower.removeLast(serviceTime.meanMicros());
      }
    }
    return queues.get(request.tier()).removeLastAfter(request.tenant(), serviceTime.meanMicros());
  }

  private List<Decision> dispatch(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    while (running.size() < slots && queued > 0) {
      Tier tier = nextTier();
      AdmissionRequest next = queues.get(tier).poll();
      queued--;
      if (canMeetDeadline(nowMillis, next, 0)) {
        countPassedOver(tier);
        double charge = serviceTime.meanMicros();
        queues.get(tier).started(next.tenant(), charge);
        decisions.add(admit(next, charge));
      } else {
        decisions.add(new Decision.Refused(next.id(), Reason.DEADLINE, 0));
      }
    }
    return decisions;
  }

  private Tier nextTier() {
    Tier highest = null;
    for (Tier tier : TIERS) {
      if (queues.get(tier).size() == 0) {
        continue;
      }
      if (passedOver[tier.ordinal()] >= settings.starvationBound()) {
        return tier;
      }
      highest = highest == null ? tier : highest;
    }
    return highest;
  }

  private void countPassedOver(Tier chosen) {
    for (Tier tier : TIERS) {
      boolean isWaiting = tier != chosen && queues.get(tier).size() > 0;
      passedOver[tier.ordinal()] = isWaiting ? passedOver[tier.ordinal()] + 1 : 0;
    }
  }

  private boolean canMeetDeadline(long nowMillis, AdmissionRequest request, double waitMicros) {
    double workMicros = Math.max(serviceTime.fastMicros(), request.expectedMicros());
    double needed = (waitMicros + workMicros) / MICROS_PER_MILLI;
    return nowMillis < request.deadlineMillis() && nowMillis + needed <= request.deadlineMillis();
  }

  /**
   * Expected wait of a further request: all requests that go before it plus the end of a running
   * one.
   */
  private double waitMicros(AdmissionRequest request) {
    int ahead = queues.get(request.tier()).countAhead(request.tenant());
    for (Tier tier : TIERS) {
      int waiting = queues.get(tier).size();
      if (tier.compareTo(request.tier()) < 0) {
        ahead += waiting;
      } else if (tier != request.tier()) {
        ahead += Math.min(waiting, ahead / settings.starvationBound());
      }
    }
    return processingMicros(ahead + 1);
  }

  private double processingMicros(int requests) {
    return requests * serviceTime.meanMicros() / slots;
  }

  private Decision refusalOfOverload(AdmissionRequest request) {
    long processingMillis = Math.round(processingMicros(queued + 1) / MICROS_PER_MILLI);
    long retryAfter = Math.max(settings.minRetryAfterMillis(), processingMillis);
    return new Decision.Refused(
        request.id(), Reason.OVERLOADED, Math.min(settings.maxRetryAfterMillis(), retryAfter));
  }
}
