package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RequestKind;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.model.routing.WeightedService;
import io.umberpath.traffic.AdmissionController;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.AdmissionControllers;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import io.umberpath.traffic.routing.UploadLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Uploads from nodes in three zones to backends whose links are shared by the bodies under way, in
 * virtual time. Choice, admission and time limits are those of the nodes.
 */
final class UploadModel {
  private static final String ROUTE = "upload";
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final int[] BACKENDS = {3, 2, 2};
  private static final double[] SHARE_OF_UPLOADS = {0.28, 0.31, 0.41};
  private static final double[] SPEEDS = {0.7, 0.7, 1.6};
  private static final int NODES_PER_ZONE = 25;
  private static final int SLOTS = 8;
  private static final int CONCURRENT_TRANSFERS = 2;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final double LINK_BYTES_PER_MILLI = 1_250;
  private static final double MEAN_BODY_BYTES = 60_000;
  private static final double BODY_SPREAD = 0.6;
  private static final double MEAN_WORK_MILLIS = 250;
  private static final double WORK_SPREAD = 0.3;
  private static final long TARGET_MILLIS = 1_200;
  private static final long TIMEOUT_MILLIS = 8_000;
  private static final int CLIENT_RETRIES = 2;
  private static final double ZONE_MILLIS = 1.4;
  private static final long ZONE_REPORT_MILLIS = 150;
  private static final long OTHER_ZONES_REPORT_MILLIS = 1_500;
  private static final long END_MILLIS = 30_000;

  private static final RoutingRule RULE =
      new RoutingRule(
          ROUTE,
          "host",
          "/",
          RequestKind.UPLOAD,
          List.of(new WeightedService("media", 1)),
          TIMEOUT_MILLIS,
          2,
          TARGET_MILLIS,
          1);

  private record Event(double atMillis, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparing(Event::order));
  private final Random random;
  private final double uploadsPerMilli;
  private final List<Backend> backends = new ArrayList<>();
  private final List<BackendEntry> entries = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private double nowMillis;
  private long lastOrder;
  private int sent;
  private int inTime;
  private int late;
  private int refused;
  private int leftZone;

  /**
   * Creates a model.
   *
   * @param load uploads offered, relative to what all links carry
   */
  UploadModel(double load, long seed) {
    this.random = new Random(seed);
    for (int zone = 0; zone < ZONES.size(); zone++) {
      for (int index = 0; index < BACKENDS[zone]; index++) {
        backends.add(new Backend(ZONES.get(zone), SPEEDS[backends.size() % SPEEDS.length]));
      }
      for (int index = 0; index < NODES_PER_ZONE; index++) {
        nodes.add(new Node(ZONES.get(zone)));
      }
    }
    backends.forEach(backend -> entries.add(backend.entry));
    this.uploadsPerMilli = load * backends.size() * LINK_BYTES_PER_MILLI / MEAN_BODY_BYTES;
  }

  double inTimeShare() {
    return inTime / (double) sent;
  }

  String describe() {
    return "%d sent, %d in time, %d late, %d refused, %d left their zone"
        .formatted(sent, inTime, late, refused, leftZone);
  }

  void run() {
    scheduleArrival();
    for (Backend backend : backends) {
      scheduleReports(backend, ZONE_REPORT_MILLIS, true);
      scheduleReports(backend, OTHER_ZONES_REPORT_MILLIS, false);
      scheduleTick(backend);
    }
    while (!events.isEmpty() && events.peek().atMillis() < END_MILLIS + TIMEOUT_MILLIS) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
  }

  private void schedule(double afterMillis, Runnable action) {
    events.add(new Event(nowMillis + afterMillis, lastOrder++, action));
  }

  private long now() {
    return (long) nowMillis;
  }

  private void scheduleArrival() {
    schedule(
        -Math.log(1 - random.nextDouble()) / uploadsPerMilli,
        () -> {
          if (nowMillis < END_MILLIS) {
            scheduleArrival();
            Node node = nodeOfZone(drawZone());
            sent++;
            node.receive(new Upload(node, now(), lognormal(MEAN_BODY_BYTES, BODY_SPREAD)));
          }
        });
  }

  private int drawZone() {
    double draw = random.nextDouble();
    int zone = 0;
    while (zone < ZONES.size() - 1 && draw >= SHARE_OF_UPLOADS[zone]) {
      draw -= SHARE_OF_UPLOADS[zone++];
    }
    return zone;
  }

  private Node nodeOfZone(int zone) {
    return nodes.get(zone * NODES_PER_ZONE + random.nextInt(NODES_PER_ZONE));
  }

  private double lognormal(double mean, double spread) {
    return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
  }

  private void scheduleReports(Backend backend, long periodMillis, boolean toOwnZone) {
    schedule(
        periodMillis * (0.5 + random.nextDouble()),
        () -> {
          BackendLoad load = backend.load();
          long madeMillis = now();
          for (Node node : nodes) {
            if (node.zone.equals(backend.entry.zone()) == toOwnZone) {
              schedule(
                  ZONE_MILLIS,
                  () -> node.balancer.updateLoad(madeMillis, backend.entry.id(), load));
            }
          }
          scheduleReports(backend, periodMillis, toOwnZone);
        });
  }

  private void scheduleTick(Backend backend) {
    schedule(
        50,
        () -> {
          backend.apply(backend.link.tick(now()), true);
          backend.apply(backend.slots.tick(now()), false);
          scheduleTick(backend);
        });
  }

  /** An upload of a client, through all its tries. */
  private final class Upload {
    private final Node node;
    private final long firstSentMillis;
    private final double bytes;
    private final double workMillis = lognormal(MEAN_WORK_MILLIS, WORK_SPREAD);
    private int retries;
    private MeshOutboundPlan plan;
    private MeshInboundPlan inboundPlan;
    private double remainingBytes;

    Upload(Node node, long firstSentMillis, double bytes) {
      this.node = node;
      this.firstSentMillis = firstSentMillis;
      this.bytes = bytes;
    }

    private long deadlineMillis() {
      return firstSentMillis + TIMEOUT_MILLIS;
    }

    void beginTry() {
      plan =
          new MeshOutboundPlan(
              "id",
              RULE,
              "media",
              1,
              deadlineMillis(),
              now(),
              0,
              retries > 0,
              Set.of(),
              new RetryState());
    }

    void end(boolean isServed) {
      if (!isServed) {
        refused++;
      } else if (nowMillis - firstSentMillis <= TARGET_MILLIS) {
        inTime++;
      } else {
        late++;
      }
    }

    /** A refused client returns after the time that it was told, as far as it has time left. */
    void refuse(long retryAfterMillis) {
      double waitMillis = Math.min(retryAfterMillis, (deadlineMillis() - nowMillis) / 3);
      if (retries++ < CLIENT_RETRIES && waitMillis > 0) {
        schedule(waitMillis, () -> node.receive(this));
      } else {
        end(false);
      }
    }
  }

  private final class Node {
    private final String zone;
    private final LatencyAwareBalancer balancer;

    Node(String zone) {
      this.zone = zone;
      this.balancer = new LatencyAwareBalancer(zone, random::nextDouble);
    }

    /** Receives the body from the client over the node's own link, and sends it on. */
    void receive(Upload upload) {
      schedule(
          upload.bytes / LINK_BYTES_PER_MILLI,
          () -> {
            upload.beginTry();
            dispatch(upload);
          });
    }

    private void dispatch(Upload upload) {
      RetryState state = upload.plan.retryState();
      boolean mayBeRefused =
          state.overloadRefusalCount() < OutboundRetryPolicy.MAX_OVERLOAD_REFUSALS;
      LatencyAwareBalancer.RequestConstraints constraints =
          new LatencyAwareBalancer.RequestConstraints(
              ROUTE,
              RequestTimes.targetInMillis(upload.plan, now()),
              RequestCosts.crossZoneCost(upload.bytes),
              true);
      LatencyAwareBalancer.Choice choice =
          balancer
              .pick(now(), entries, constraints, state.excludedBackends(mayBeRefused), Set.of())
              .orElseThrow();
      String id = choice.backend().id();
      balancer.startedUpload(now(), id);
      long toleratedWaitMillis =
          mayBeRefused ? choice.toleratedWaitMillis() : LatencyAwareBalancer.ANY_WAIT_MILLIS;
      upload.inboundPlan = inboundPlan(upload, id, toleratedWaitMillis);
      leftZone += choice.backend().zone().equals(zone) ? 0 : 1;
      schedule(ZONE_MILLIS, () -> backendOf(id).receiveHead(upload));
    }

    private MeshInboundPlan inboundPlan(Upload upload, String id, long toleratedWaitMillis) {
      MeshOutboundPlan plan = upload.plan;
      HopHeader hop =
          new HopHeader(
              id,
              ROUTE,
              RequestTimes.dueInMillis(plan, now()),
              toleratedWaitMillis,
              RequestTimes.targetInMillis(plan, now()),
              RequestTimes.refuseWithinMillis(plan, now()),
              RequestTimes.startWithinMillis(plan, now()),
              false);
      return new MeshInboundPlan("id", hop, plan.deadlineMillis(), 0, now(), 0, Set.of());
    }

    void onResponse(Upload upload, Backend backend, BackendLoad load) {
      String id = backend.entry.id();
      balancer.finished(now(), id, new Verdict.Completed());
      balancer.updateLoad(now(), id, load);
      balancer.updateRouteTime(now(), id, ROUTE, Math.round(backend.meanWorkMillis() * 1_000));
      upload.end(true);
    }

    void onRefusal(Upload upload, Backend backend, BackendLoad load, long retryAfterMillis) {
      String id = backend.entry.id();
      balancer.finished(now(), id, new Verdict.NotRun(Verdict.Reason.OVERLOADED));
      balancer.updateLoad(now(), id, load);
      RetryState state = upload.plan.retryState();
      state.recordOverloadRefusal(id);
      if (state.overloadRefusalCount() > OutboundRetryPolicy.MAX_OVERLOAD_REFUSALS) {
        upload.refuse(retryAfterMillis);
      } else {
        dispatch(upload);
      }
    }

    private Backend backendOf(String id) {
      return backends.stream().filter(each -> each.entry.id().equals(id)).findAny().orElseThrow();
    }
  }

  private final class Backend {
    private final BackendEntry entry;
    private final double speed;
    private final AdmissionController link = admission(CONCURRENT_TRANSFERS);
    private final AdmissionController slots = admission(SLOTS);
    private final Map<Long, Upload> uploads = new HashMap<>();
    private final Map<Long, Double> startedMillis = new HashMap<>();
    private final List<Long> transfers = new ArrayList<>();
    private double progressMillis;
    private long transferVersion;
    private long lastId;
    private boolean hasReceived;

    Backend(String zone, double speed) {
      this.speed = speed;
      this.entry =
          new BackendEntry(
              "i-" + backends.size(),
              "media",
              new PeerAddress("10.0.0.1", 1),
              zone,
              SLOTS,
              BackendEntry.State.READY,
              0);
    }

    private static AdmissionController admission(int slots) {
      return AdmissionControllers.createInDueOrder(
          AdmissionLimits.settings(slots, MIN_RETRY_AFTER_MILLIS));
    }

    double meanWorkMillis() {
      return MEAN_WORK_MILLIS / speed;
    }

    BackendLoad load() {
      long bodyMicros = hasReceived ? link.meanServiceMicros() / CONCURRENT_TRANSFERS : 0;
      return new BackendLoad(
              slots.running(), slots.queued(), SLOTS, slots.meanServiceMicros(), 100, 0)
          .withUploads(new UploadLoad(link.running() + link.queued(), bodyMicros));
    }

    private AdmissionRequests.WorkTime work() {
      long micros = Math.round(meanWorkMillis() * 1_000);
      return new AdmissionRequests.WorkTime(micros, Math.round(micros * (1 + WORK_SPREAD)));
    }

    void receiveHead(Upload upload) {
      long id = ++lastId;
      uploads.put(id, upload);
      long slotWaitMicros = load().slotWaitMicros();
      apply(
          link.submit(
              now(),
              AdmissionRequests.forBody(
                  id, upload.inboundPlan, work(), link.meanServiceMicros(), slotWaitMicros, false)),
          true);
    }

    void apply(List<Decision> decisions, boolean isLink) {
      for (Decision decision : decisions) {
        Upload upload = uploads.get(decision.id());
        if (decision instanceof Decision.Refused refusal) {
          uploads.remove(decision.id());
          BackendLoad load = load();
          schedule(
              ZONE_MILLIS,
              () -> upload.node.onRefusal(upload, this, load, refusal.retryAfterMillis()));
        } else if (decision instanceof Decision.Admitted && isLink) {
          startTransfer(decision.id(), upload);
        } else if (decision instanceof Decision.Admitted) {
          schedule(upload.workMillis / speed, () -> finish(decision.id(), upload));
        }
      }
    }

    private void startTransfer(long id, Upload upload) {
      advance();
      upload.remainingBytes = upload.bytes;
      startedMillis.put(id, nowMillis);
      transfers.add(id);
      scheduleTransferEnd();
    }

    private void advance() {
      double bytes =
          (nowMillis - progressMillis) * LINK_BYTES_PER_MILLI / Math.max(1, transfers.size());
      transfers.forEach(id -> uploads.get(id).remainingBytes -= bytes);
      progressMillis = nowMillis;
    }

    private void scheduleTransferEnd() {
      long version = ++transferVersion;
      transfers.stream()
          .min(Comparator.comparingDouble(id -> uploads.get(id).remainingBytes))
          .ifPresent(
              id -> {
                double bytes = Math.max(0, uploads.get(id).remainingBytes) * transfers.size();
                schedule(bytes / LINK_BYTES_PER_MILLI, () -> endTransfer(id, version));
              });
    }

    private void endTransfer(long id, long version) {
      if (version != transferVersion) {
        return;
      }
      advance();
      transfers.remove(id);
      hasReceived = true;
      Upload upload = uploads.get(id);
      long micros = Math.round((nowMillis - startedMillis.remove(id)) * 1_000);
      apply(link.release(now(), id, micros), true);
      scheduleTransferEnd();
      apply(
          slots.submit(
              now(), AdmissionRequests.forSlot(id, upload.inboundPlan, work(), true, false)),
          false);
    }

    private void finish(long id, Upload upload) {
      uploads.remove(id);
      apply(slots.release(now(), id, Math.round(upload.workMillis / speed * 1_000)), false);
      BackendLoad load = load();
      schedule(ZONE_MILLIS, () -> upload.node.onResponse(upload, this, load));
    }
  }
}
