package io.umberpath.traffic;

import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queued requests of one tier, with equal shares of slot time for the waiting tenants.
 *
 * <p>Start-time fair queueing: each tenant has a virtual time that increases with the slot time it
 * used; the tenant with the lowest goes next. A tenant that was idle starts at the level of the
 * others, so idle time earns no credit. The owner synchronizes access.
 */
final class TierQueue {
  private static final int MAX_IDLE_TENANTS = 1_024;

  private static final class Tenant {
    private final Deque<AdmissionRequest> waiting = new ArrayDeque<>();
    private double virtualMicros;
    private int running;
  }

  private final Map<String, Tenant> tenants = new LinkedHashMap<>();
  private double virtualTimeMicros;
  private int size;

  int size() {
    return size;
  }

  void add(AdmissionRequest request) {
    Tenant tenant = tenant(request.tenant());
    if (tenant.waiting.isEmpty()) {
      tenant.virtualMicros = Math.max(tenant.virtualMicros, virtualTimeMicros);
    }
    tenant.waiting.addLast(request);
    size++;
  }

  /** Removes the request that goes next; the queue must not be empty. */
  AdmissionRequest poll() {
    Tenant next = null;
    for (Tenant tenant : tenants.values()) {
      if (!tenant.waiting.isEmpty()
          && (next == null || tenant.virtualMicros < next.virtualMicros)) {
        next = tenant;
      }
    }
    if (next == null) {
      throw new IllegalStateException("queue is empty");
    }
    virtualTimeMicros = Math.max(virtualTimeMicros, next.virtualMicros);
    size--;
    return next.waiting.removeFirst();
  }

  /**
   * Records that a request got a free slot without contention. The earlier use of its tenant is
   * cleared, so that it does not count against the tenant when a queue forms.
   */
  void startedUncontended(String tenantName, double chargedMicros) {
    tenant(tenantName).virtualMicros = virtualTimeMicros;
    started(tenantName, chargedMicros);
  }

  /** Records that a request got a slot after waiting; its tenant is charged in advance. */
  void started(String tenantName, double chargedMicros) {
    Tenant tenant = tenant(tenantName);
    tenant.running++;
    tenant.virtualMicros = Math.max(tenant.virtualMicros, virtualTimeMicros) + chargedMicros;
  }

  /** Records that a request released its slot; corrects the advance charge. */
  void finished(String tenantName, double chargedMicros, double usedMicros) {
    Tenant tenant = tenant(tenantName);
    tenant.running--;
    tenant.virtualMicros += usedMicros - chargedMicros;
    removeIdleTenants();
  }

  /** Number of requests that would be served before a further one of the tenant. */
  int countAhead(String tenantName) {
    Tenant own = tenants.get(tenantName);
    int ownWaiting = own == null ? 0 : own.waiting.size();
    int ahead = 0;
    for (Tenant tenant : tenants.values()) {
      ahead += Math.min(tenant.waiting.size(), ownWaiting + 1);
    }
    return ahead;
  }

  /**
   * Removes the waiting request that would be served last: the newest of the tenant whose share
   * reaches furthest.
   *
   * @param requestMicros slot time of one request
   */
  Optional<AdmissionRequest> removeLast(double requestMicros) {
    return removeLast(requestMicros, Double.NEGATIVE_INFINITY);
  }

  /**
   * Removes the waiting request that would be served last, if that is later than a further request
   * of the tenant would be.
   *
   * @param requestMicros slot time of one request
   */
  Optional<AdmissionRequest> removeLastAfter(String tenantName, double requestMicros) {
    Tenant own = tenants.get(tenantName);
    double ownFinish =
        own == null
            ? virtualTimeMicros + requestMicros
            : Math.max(own.virtualMicros, virtualTimeMicros)
                + (own.waiting.size() + 1) * requestMicros;
    return removeLast(requestMicros, ownFinish);
  }

  private Optional<AdmissionRequest> removeLast(double requestMicros, double laterThan) {
    Tenant last = null;
    double lastFinish = laterThan;
    for (Tenant tenant : tenants.values()) {
      double finish = tenant.virtualMicros + tenant.waiting.size() * requestMicros;
      if (!tenant.waiting.isEmpty() && finish > lastFinish) {
        last = tenant;
        lastFinish = finish;
      }
    }
    if (last == null) {
      return Optional.empty();
    }
    size--;
    return Optional.of(last.waiting.removeLast());
  }

  /** Removes a request; returns whether it was queued. */
  boolean remove(long id) {
    return !removeIf(request -> request.id() == id).isEmpty();
  }

  /** Removes the requests that match, oldest first within each tenant. */
  List<AdmissionRequest> removeIf(Predicate<AdmissionRequest> condition) {
    List<AdmissionRequest> removed = new ArrayList<>();
    for (Tenant tenant : tenants.values()) {
      for (Iterator<AdmissionRequest> requests = tenant.waiting.iterator(); requests.hasNext(); ) {
        AdmissionRequest request = requests.next();
        if (condition.test(request)) {
          requests.remove();
          removed.add(request);
        }
      }
    }
    size -= removed.size();
    return removed;
  }

  private Tenant tenant(String name) {
    return tenants.computeIfAbsent(name, absent -> new Tenant());
  }

  /** Removes idle tenants whose virtual time is not ahead, or any idle ones above the limit. */
  private void removeIdleTenants() {
    boolean isOverLimit = tenants.size() > MAX_IDLE_TENANTS;
    tenants
        .values()
        .removeIf(
            tenant ->
                tenant.waiting.isEmpty()
                    && tenant.running == 0
                    && (isOverLimit || tenant.virtualMicros <= virtualTimeMicros));
  }
}
