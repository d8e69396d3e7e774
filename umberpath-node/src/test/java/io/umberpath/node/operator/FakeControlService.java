package io.umberpath.node.operator;

import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.StateDelta;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.StateHasher;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import io.umberpath.node.control.ControlService;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An in-memory control service; the test sets its failures and the members' versions. */
public final class FakeControlService implements ControlService {
  static final Member SELF = new Member(0, PeerAddress.parse("127.0.0.1:7100"), 1, "kepong", "kv");

  final Map<String, ObservedBackend> observed = new ConcurrentHashMap<>();
  public final AtomicInteger submitted = new AtomicInteger();
  public volatile Optional<CompletionStage<ChangeResult>> nextOutcome = Optional.empty();
  public volatile List<ControlStatus.NodeView> nodes = List.of();
  volatile Set<PeerAddress> reformed = Set.of();
  public volatile List<Violation> compositionViolations = List.of();
  private volatile FleetState state = FleetState.EMPTY;

  private static final PlatformDocument DOCUMENT =
      new PlatformDocument(
          5,
          new TreeMap<>(
              Map.of(
                  "booking",
                  List.of(
                      new PlatformDocument.BackendAddress(
                          "booking-1", "127.0.0.1", 9001, "kepong", "127.0.0.2", 7201),
                      new PlatformDocument.BackendAddress(
                          "booking-2", "127.0.0.1", 9002, "bangsar", "127.0.0.3", 7201)))),
          List.of());

  public static ControlStatus.NodeView node(int port, Version active) {
    Member member = new Member(port, new PeerAddress("127.0.0.1", port), 1, "kepong", "kv");
    return new ControlStatus.NodeView(member, true, active, active, 5);
  }

  Version version() {
    return state.version();
  }

  @Override
  public synchronized CompletionStage<ChangeResult> submit(ChangeSet change, Duration timeout) {
    submitted.incrementAndGet();
    if (nextOutcome.isPresent()) {
      return nextOutcome.get();
    }
    String key = StateDeltas.answerKey(change.tenant(), change.requestId());
    long fingerprint = StateHasher.fingerprint(change);
    Optional<FleetState.AnsweredChange> previous = state.answered().get(key).toJavaOptional();
    if (previous.isPresent()) {
      boolean isRetry = previous.get().changeHash() == fingerprint;
      return CompletableFuture.completedFuture(
          isRetry
              ? new ChangeResult.Accepted(previous.get().version())
              : new ChangeResult.Refused(ChangeResult.RefusalCode.REQUEST_ID_REUSED, List.of()));
    }
    Version target = state.version().next(1);
    StateDelta delta =
        new StateDelta(
            state.version(),
            state.contentHash(),
            target,
            0,
            change.upserts(),
            change.deletes(),
            change.drains(),
            List.of(),
            List.of(),
            StateDelta.RosterBasis.SETTLED,
            Optional.empty(),
            List.of(new StateDelta.Answer(key, new FleetState.AnsweredChange(fingerprint, target))),
            List.of(),
            0);
    state = StateDeltas.produce(delta, state);
    return CompletableFuture.completedFuture(new ChangeResult.Accepted(target));
  }

  @Override
  public CompletionStage<List<ControlStatus.NodeView>> fleetView(Duration timeout) {
    return CompletableFuture.completedFuture(nodes);
  }

  @Override
  public CompletionStage<ChangeResult> reform(Set<PeerAddress> acceptedLoss, Duration timeout) {
    reformed = acceptedLoss;
    return CompletableFuture.completedFuture(new ChangeResult.Accepted(new Version(2, 1)));
  }

  @Override
  public ControlStatus status() {
    return new ControlStatus(
        SELF,
        ControlStatus.Role.LEADER,
        1,
        Optional.of(SELF),
        Optional.empty(),
        0,
        state,
        state.version(),
        state.version(),
        DOCUMENT.revision(),
        DOCUMENT,
        true,
        compositionViolations,
        nodes);
  }

  @Override
  public ProxySnapshot snapshot() {
    return ProxySnapshot.compose(state, DOCUMENT).getOrElse(ProxySnapshot.EMPTY);
  }

  @Override
  public Map<String, ObservedBackend> observedBackends() {
    return observed;
  }

  @Override
  public void reportBackend(ObservedBackend backend) {
    observed.put(backend.backendId(), backend);
  }
}
