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
 * Slots with a bounded queue in tier order; design note 0005. Owner synchronizes.
 *
 * <p>Invariant: a request waits only while every slot is taken.
 */
final class SlotAdmissionController implements AdmissionController {
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final Tier[] TIERS = Tier.values();

  private record Running(AdmissionRequest ask, double chargedMicros) {}

  private final AdmissionSettings settings;
  private final ServiceTimeEstimate service;
  private final Map<Tier, TierQueue> queues = new EnumMap<>(Tier.class);
  private final int[] passedOver = new int[TIERS.length];
  private final Map<Long, Running> running = new HashMap<>();
  private int slots;
  private int queued;
  private boolean draining;

  SlotAdmissionController(AdmissionSettings settings) {
    this.settings = settings;
    this.slots = settings.slots();
    this.service = new ServiceTimeEstimate(settings.initialServiceMicros());
    for (Tier tier : TIERS) {
      queues.put(tier, new TierQueue());
    }
  }

  @Override
  public List<Decision> ask(long nowMillis, AdmissionRequest ask) {
    if (running.containsKey(ask.id())) {
      throw new IllegalArgumentException("request " + ask.id() + " already holds a slot");
    }
    if (draining) {
      return List.of(new Decision.Refused(ask.id(), Reason.DRAINING, 0));
    }
    if (ask.deadlineMillis() <= nowMillis) {
      return List.of(new Decision.Refused(ask.id(), Reason.DEADLINE, 0));
    }
    if (running.size() < slots) {
      double charge = service.meanMicros();
      queues.get(ask.tier()).startedUncontended(ask.tenant(), charge);
      return List.of(hold(ask, charge));
    }
    double waitMicros = waitMicros(ask);
    boolean tooLong = waitMicros / MICROS_PER_MILLI > ask.toleratedWaitMillis();
    if (tooLong || !canBeMet(nowMillis, ask, waitMicros)) {
      return List.of(overloaded(ask));
    }
    return enqueue(ask);
  }

  @Override
  public List<Decision> release(long nowMillis, long id, long serviceMicros) {
    Running ended = running.remove(id);
    if (ended == null) {
      return List.of();
    }
    if (serviceMicros > 0) {
      service.add(serviceMicros);
    }
    queues
        .get(ended.ask.tier())
        .ended(ended.ask.tenant(), ended.chargedMicros, Math.max(0, serviceMicros));
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
      for (AdmissionRequest late : queue.removeIf(ask -> !canBeMet(nowMillis, ask, 0))) {
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
      for (AdmissionRequest ask : queue.removeIf(any -> true)) {
        decisions.add(new Decision.Refused(ask.id(), Reason.DRAINING, 0));
      }
    }
    queued = 0;
    return decisions;
  }

  @Override
  public List<Decision> resize(long nowMillis, int newSlots) {
    Settings.atLeast("slots", newSlots, 1);
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
    return Math.round(service.meanMicros());
  }

  private Decision hold(AdmissionRequest ask, double charge) {
    running.put(ask.id(), new Running(ask, charge));
    return new Decision.Admitted(ask.id());
  }

  private List<Decision> enqueue(AdmissionRequest ask) {
    List<Decision> decisions = new ArrayList<>();
    if (placesFor(ask.tier()) <= 0) {
      Optional<AdmissionRequest> displaced = displaceFor(ask);
      if (displaced.isEmpty()) {
        return List.of(overloaded(ask));
      }
      queued--;
      decisions.add(overloaded(displaced.get()));
    }
    queues.get(ask.tier()).add(ask);
    queued++;
    decisions.add(0, new Decision.Queued(ask.id()));
    return decisions;
  }

  /** Free queue places, less those kept for the other tiers. */
  private int placesFor(Tier tier) {
    int places = settings.queueLimit() - queued;
    for (Tier other : TIERS) {
      if (other != tier) {
        places -= Math.max(0, AdmissionSettings.RESERVED_PLACES - queues.get(other).size());
      }
    }
    return places;
  }

  /** A lower tier gives way first; within the tier, the tenant furthest beyond its share. */
  private Optional<AdmissionRequest> displaceFor(AdmissionRequest ask) {
    for (int tier = TIERS.length - 1; tier > ask.tier().ordinal(); tier--) {
      TierQueue lower = queues.get(TIERS[tier]);
      if (lower.size() > AdmissionSettings.RESERVED_PLACES) {
        return lower.removeLast(service.meanMicros());
      }
    }
    return queues.get(ask.tier()).removeLastAfter(ask.tenant(), service.meanMicros());
  }

  private List<Decision> dispatch(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    while (running.size() < slots && queued > 0) {
      Tier tier = nextTier();
      AdmissionRequest next = queues.get(tier).poll();
      queued--;
      if (canBeMet(nowMillis, next, 0)) {
        countPassedOver(tier);
        double charge = service.meanMicros();
        queues.get(tier).started(next.tenant(), charge);
        decisions.add(hold(next, charge));
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
      boolean waits = tier != chosen && queues.get(tier).size() > 0;
      passedOver[tier.ordinal()] = waits ? passedOver[tier.ordinal()] + 1 : 0;
    }
  }

  private boolean canBeMet(long nowMillis, AdmissionRequest ask, double waitMicros) {
    double workMicros = Math.max(service.fastMicros(), ask.expectedMicros());
    double needed = (waitMicros + workMicros) / MICROS_PER_MILLI;
    return nowMillis < ask.deadlineMillis() && nowMillis + needed <= ask.deadlineMillis();
  }

  /** Expected wait of a further request: all that go before it, and one running to end. */
  private double waitMicros(AdmissionRequest ask) {
    int ahead = queues.get(ask.tier()).ahead(ask.tenant());
    for (Tier tier : TIERS) {
      int waiting = queues.get(tier).size();
      if (tier.compareTo(ask.tier()) < 0) {
        ahead += waiting;
      } else if (tier != ask.tier()) {
        ahead += Math.min(waiting, ahead / settings.starvationBound());
      }
    }
    return drainMicros(ahead + 1);
  }

  private double drainMicros(int requests) {
    return requests * service.meanMicros() / slots;
  }

  private Decision overloaded(AdmissionRequest ask) {
    long drainMillis = Math.round(drainMicros(queued + 1) / MICROS_PER_MILLI);
    long retryAfter = Math.max(settings.minRetryAfterMillis(), drainMillis);
    return new Decision.Refused(
        ask.id(), Reason.OVERLOADED, Math.min(settings.maxRetryAfterMillis(), retryAfter));
  }
}
