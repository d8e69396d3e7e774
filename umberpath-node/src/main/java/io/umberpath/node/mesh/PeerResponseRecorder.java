package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.traffic.RequestRateLimiter;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/** Records what responses of other nodes tell about their backends. Thread-safe. */
final class PeerResponseRecorder {
  private final LatencyAwareBalancer balancer;
  private final BackendNotices notices;
  private final LongSupplier clockMillis;
  private final Set<String> nestedRoutes = ConcurrentHashMap.newKeySet();

  PeerResponseRecorder(
      LatencyAwareBalancer balancer, BackendNotices notices, LongSupplier clockMillis) {
    this.balancer = balancer;
    this.notices = notices;
    this.clockMillis = clockMillis;
  }

  /** Records the headers of a response. */
  void record(String backend, String route, ResponseHead head) {
    recordLoad(backend, route, head);
    recordNotice(backend, head);
    recordDelay(backend, head);
    if (head.field(MeshInboundHandler.NESTED_HEADER).isPresent()) {
      nestedRoutes.add(route);
    }
  }

  /** Whether the requests of a route are sent by backends, as the nodes beside them have told. */
  boolean isNested(String route) {
    return nestedRoutes.contains(route);
  }

  private void recordLoad(String backend, String route, ResponseHead head) {
    BackendLoad load =
        head.field(MeshInboundHandler.LOAD_HEADER).map(BackendLoad::decode).orElse(null);
    if (load != null) {
      synchronized (balancer) {
        balancer.updateLoad(clockMillis.getAsLong(), backend, load);
        balancer.updateRouteTime(clockMillis.getAsLong(), backend, route, load.routeMicros());
      }
    }
  }

  private void recordDelay(String backend, ResponseHead head) {
    Optional<Long> delayMillis =
        head.field(MeshInboundHandler.DELAY_HEADER).flatMap(Headers::number);
    if (delayMillis.isPresent()) {
      synchronized (balancer) {
        balancer.updateNodeDelay(clockMillis.getAsLong(), backend, delayMillis.get());
      }
    }
  }

  private void recordNotice(String backend, ResponseHead head) {
    Optional<NoticeHeader> received = head.field(NoticeHeader.HEADER).flatMap(NoticeHeader::decode);
    if (received.isEmpty()) {
      return;
    }
    NoticeHeader header = received.get();
    notices.merge(new BackendStart(backend, header.startTimeMillis()), header.notice());
    double intervalMillis = RequestRateLimiter.intervalMillis(header.notice().requestsPerSecond());
    synchronized (balancer) {
      balancer.updateRateLimit(
          clockMillis.getAsLong(), backend, header.startWaitMillis(), intervalMillis);
    }
  }
}
