package io.umberpath.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlNode;
import io.umberpath.control.ControlOutput;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Version;
import io.umberpath.node.platform.PlatformReader;
import io.umberpath.transport.Transport;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the runtime with a scripted node. */
@Timeout(60)
class ControlRuntimeTest {
  private static final PeerAddress PEER = new PeerAddress("127.0.0.1", 1);
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(50);
  private static final ChangeResult ACCEPTED = new ChangeResult.Accepted(new Version(1, 1));
  private static final ChangeResult FORWARDED = new ChangeResult.Unknown("forwarded");

  private final List<ControlInput> inputs = new CopyOnWriteArrayList<>();
  private final List<ControlMessage> sent = new CopyOnWriteArrayList<>();
  private final CompletableFuture<PlatformDocument> document = new CompletableFuture<>();
  private final CountDownLatch failure = new CountDownLatch(1);
  private Transport.Listener listener;
  private ControlRuntime runtime;

  private void start(Function<ControlInput, List<ControlOutput>> behaviour) throws IOException {
    runtime =
        new ControlRuntime(
            new ScriptedNode(behaviour),
            new RecordingTransport(),
            new PendingReader(),
            ControlRuntimeSettings.DEFAULT,
            failure::countDown);
    runtime.start();
  }

  @AfterEach
  void close() {
    runtime.close();
  }

  private static Function<ControlInput, List<ControlOutput>> noOutputs() {
    return input -> List.of();
  }

  private CompletableFuture<ChangeResult> submit(Duration timeout) {
    return runtime.submit(RuntimeFleet.poolChange("pool"), timeout).toCompletableFuture();
  }

  @Test
  void changeCompletesWithTheResultOfTheNode() throws Exception {
    start(
        input ->
            input instanceof ControlInput.ChangeSubmitted change
                ? List.of(new ControlOutput.ChangeAnswered(change.ticket(), ACCEPTED))
                : List.of());
    assertThat(submit(LONG_TIMEOUT).get()).isEqualTo(ACCEPTED);
  }

  private void startCompletingAbandonedChanges() throws IOException {
    start(
        input ->
            input instanceof ControlInput.ChangeAbandoned change
                ? List.of(new ControlOutput.ChangeAnswered(change.ticket(), FORWARDED))
                : List.of());
  }

  @Test
  void expiredChangeCompletesWithTheResultOfTheNode() throws Exception {
    startCompletingAbandonedChanges();
    assertThat(submit(Duration.ofMillis(20)).get()).isEqualTo(FORWARDED);
  }

  @Test
  void pendingChangesAreAbandonedBeforeTheRuntimeStops() throws Exception {
    startCompletingAbandonedChanges();
    CompletableFuture<ChangeResult> open = submit(LONG_TIMEOUT);
    RuntimeFleet.await("submitted", () -> inputs.stream().anyMatch(this::isSubmission));
    runtime.close();
    assertThat(open.get()).isEqualTo(FORWARDED);
  }

  private boolean isSubmission(ControlInput input) {
    return input instanceof ControlInput.ChangeSubmitted;
  }

  @Test
  void nodeFailureStopsTheRuntimeAndLeavesOutcomesUnknown() throws Exception {
    start(
        input -> {
          if (input instanceof ControlInput.ChangeSubmitted) {
            throw new IllegalStateException("seeded");
          }
          return List.of();
        });
    assertThat(submit(LONG_TIMEOUT).get()).isInstanceOf(ChangeResult.Unknown.class);
    assertThat(failure.await(30, TimeUnit.SECONDS)).isTrue();
    assertThat(submit(LONG_TIMEOUT).get()).isInstanceOf(ChangeResult.Refused.class);
  }

  @Test
  void fleetViewIsEmptyAfterTimeout() throws Exception {
    start(noOutputs());
    assertThat(runtime.fleetView(Duration.ofMillis(20)).toCompletableFuture().get()).isEmpty();
  }

  @Test
  void messagesUnreachablePeersAndDocumentsReachTheNode() throws Exception {
    PlatformDocument read = new PlatformDocument(4, new TreeMap<>(), List.of());
    start(
        input ->
            input instanceof ControlInput.MessageReceived
                ? List.of(
                    new ControlOutput.ReadPlatform(),
                    new ControlOutput.Send(PEER, new ControlMessage.Detach()))
                : List.of());
    ControlMessage message = new ControlMessage.FleetViewRequest(1);
    listener.onMessage(PEER, message);
    listener.onUnreachable(PEER);
    RuntimeFleet.await("sent", () -> sent.contains(new ControlMessage.Detach()));
    document.complete(read);
    RuntimeFleet.await(
        "inputs",
        () ->
            inputs.containsAll(
                List.of(
                    new ControlInput.MessageReceived(PEER, message),
                    new ControlInput.PeerUnreachable(PEER),
                    new ControlInput.DocumentRead(read))));
  }

  @Test
  void failedDocumentReadReachesTheNode() throws Exception {
    start(
        input ->
            input instanceof ControlInput.PeerUnreachable
                ? List.of(new ControlOutput.ReadPlatform())
                : List.of());
    listener.onUnreachable(PEER);
    document.completeExceptionally(new IOException("down"));
    RuntimeFleet.await(
        "told",
        () -> inputs.stream().anyMatch(input -> input instanceof ControlInput.DocumentReadFailed));
  }

  @Test
  void snapshotAndObservedBackendsFollowTheNode() throws Exception {
    ProxySnapshot snapshot = new ProxySnapshot(new Version(1, 5), 2, List.of(), Map.of(), Map.of());
    ObservedBackend newer = backend(2);
    start(
        input ->
            input instanceof ControlInput.BackendObserved
                ? List.of(
                    new ControlOutput.ObservedUpdated(List.of(newer)),
                    new ControlOutput.ObservedUpdated(List.of(backend(1))),
                    new ControlOutput.Activate(snapshot))
                : List.of());
    assertThat(runtime.snapshot()).isSameAs(ProxySnapshot.EMPTY);
    runtime.reportBackend(newer);
    RuntimeFleet.await("activated", () -> runtime.snapshot() == snapshot);
    assertThat(runtime.observedBackends()).containsExactly(Map.entry("b", newer));
  }

  private static ObservedBackend backend(long counter) {
    return new ObservedBackend("b", 1, counter, ObservedBackend.Phase.READY, 0);
  }

  /** Computes its outputs with a function; requests a tick every 10 ms. */
  private final class ScriptedNode implements ControlNode {
    private final Function<ControlInput, List<ControlOutput>> behaviour;
    private long now;

    ScriptedNode(Function<ControlInput, List<ControlOutput>> behaviour) {
      this.behaviour = behaviour;
    }

    @Override
    public List<ControlOutput> handle(long nowMillis, ControlInput input) {
      assertThat(nowMillis).isGreaterThanOrEqualTo(now);
      now = nowMillis;
      if (!(input instanceof ControlInput.Tick)) {
        inputs.add(input);
      }
      return behaviour.apply(input);
    }

    @Override
    public long nextWakeMillis() {
      return now + 10;
    }

    @Override
    public ControlStatus status() {
      Member self = new Member(Member.NO_SLOT, PEER, 1, "zone", "region");
      return new ControlStatus(
          self,
          ControlStatus.Role.JOINING,
          0,
          Optional.empty(),
          Optional.empty(),
          0,
          FleetState.EMPTY,
          Version.NONE,
          Version.NONE,
          0,
          PlatformDocument.NONE,
          false,
          List.of(),
          List.of());
    }
  }

  /** Records sent messages. */
  private final class RecordingTransport implements Transport {
    @Override
    public void start(Listener started) {
      listener = started;
    }

    @Override
    public void send(PeerAddress to, ControlMessage message) {
      sent.add(message);
    }

    @Override
    public void disconnect(PeerAddress peer) {}

    @Override
    public Traffic traffic() {
      return new Traffic(0, 0, 0, 0);
    }

    @Override
    public void close() {}
  }

  /** Returns a document that the test completes. */
  private final class PendingReader implements PlatformReader {
    @Override
    public CompletionStage<PlatformDocument> read() {
      return document;
    }

    @Override
    public void close() {}
  }
}
