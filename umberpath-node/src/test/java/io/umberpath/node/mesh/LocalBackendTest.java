package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RequestLimits;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.model.routing.ServiceDefinition;
import io.umberpath.traffic.ColdStartLimiter;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class LocalBackendTest {
  private static final PeerAddress ADDRESS = new PeerAddress("10.0.0.1", 8000);
  static final MeshSettings SETTINGS =
      new MeshSettings(
          "node-1",
          "zone",
          "booking",
          ADDRESS,
          new PeerAddress("10.0.0.1", 1),
          new PeerAddress("10.0.0.1", 2),
          new PeerAddress("10.0.0.1", 3),
          new PeerAddress("10.0.0.1", 4),
          Optional.empty(),
          List.of(),
          false,
          0,
          new MeshSettings.Retry(10_000, 0.2, 64),
          ColdStartLimiter.Bounds.RATE_ALONE,
          2_000,
          6_000,
          new HeaderNames(
              "Id",
              "Deadline",
              "Expected",
              "Caller",
              "Not-Executed",
              "Instance",
              "Load",
              "Limit",
              "Leaving"));

  private MeshView view = viewOf(entry("first", BackendEntry.State.READY));
  private String attested;
  private long nowMillis = 50_000;
  private final MeshEvents events = new MeshEvents(() -> 0);
  private final LocalBackend backend =
      new LocalBackend(
          SETTINGS,
          () -> view,
          id -> id.equals(attested),
          new LocalBackendSpeed(Either::left, events, () -> nowMillis),
          new NoticeParser(SETTINGS.headers(), new FakeStoreItemParser(), events),
          new LocalBackendNotices(new BackendNotices(), events, () -> nowMillis),
          () -> nowMillis);

  static BackendEntry entry(String id, BackendEntry.State state) {
    return entry(id, state, 0);
  }

  private static BackendEntry startedAt(long startTimeMillis) {
    return new BackendEntry(
        "first", "booking", ADDRESS, "zone", 6, BackendEntry.State.READY, 0, startTimeMillis);
  }

  private static BackendEntry entry(String id, BackendEntry.State state, long warmupMillis) {
    return new BackendEntry(id, "booking", ADDRESS, "zone", 6, state, warmupMillis);
  }

  /** While cold, backends of the service accept ten requests per second, for three seconds. */
  static MeshView viewOf(Set<String> evacuated, BackendEntry... entries) {
    ServiceDefinition service = new ServiceDefinition("booking", "/health", 130, 3_000, 10);
    RoutingConfiguration configuration =
        new RoutingConfiguration(
            1, new RequestLimits(1, 1, 1, 1), List.of(), Map.of("booking", service));
    return new MeshView(
        configuration,
        null,
        new BackendDirectory(List.of(entries), evacuated),
        new StorePosition(0, 1),
        new StorePosition(0, 1));
  }

  private static MeshView viewOf(BackendEntry... entries) {
    return new MeshView(
        null,
        null,
        new BackendDirectory(List.of(entries), Set.of()),
        new StorePosition(0, 1),
        new StorePosition(0, 1));
  }

  /** The entry of a replaced backend stays in the store for some seconds. */
  @Test
  void refusesRequestsForAnEndedStartWhileItsEntryIsStillListed() {
    assertThat(backend.acceptsNewWork("first")).isTrue();

    backend.recordRespondingInstance("first", "second");

    assertThat(backend.acceptsNewWork("first")).isFalse();
    assertThat(backend.acceptsNewWork("second")).isTrue();
  }

  @Test
  void aNewStartUnderTheSameIdAcceptsNewWork() {
    view = viewOf(startedAt(1_000));
    backend.refresh();
    backend.recordRespondingInstance("first", "second");
    assertThat(backend.acceptsNewWork("first")).isFalse();

    view = viewOf(startedAt(2_000));
    backend.refresh();

    assertThat(backend.acceptsNewWork("first")).isTrue();
    assertThat(backend.startTimeMillis()).isEqualTo(2_000);
    assertThat(backend.startOf("first").startTimeMillis()).isEqualTo(2_000);
  }

  @Test
  void aResponseFromTheExpectedStartEndsNothing() {
    backend.recordRespondingInstance("first", "first");

    assertThat(backend.acceptsNewWork("first")).isTrue();
  }

  @Test
  void aDrainingOrDelistedBackendRefusesNewWork() {
    backend.refresh();
    view = viewOf(entry("first", BackendEntry.State.DRAINING));
    assertThat(backend.acceptsNewWork("first")).isFalse();

    view = viewOf();
    assertThat(backend.acceptsNewWork("first")).isFalse();
    assertThat(backend.acceptsNewWork("not-listed-yet")).isTrue();
  }

  @Test
  void anAttestedBackendWithAnExpiredEntryAcceptsNewWork() {
    backend.refresh();
    view = viewOf();
    assertThat(backend.acceptsNewWork("first")).isFalse();

    attested = "first";
    assertThat(backend.acceptsNewWork("first")).isTrue();
  }

  @Test
  void aStoppingNodeRefusesNewWork() {
    backend.startDraining();

    assertThat(backend.acceptsNewWork("first")).isFalse();
  }

  /** After an evacuation, backends may be cold before their entries report it. */
  @Test
  void anEvacuatedZoneRefusesNewWorkAndIsColdAfterwards() {
    BackendEntry first = entry("first", BackendEntry.State.READY);
    view = viewOf(Set.of("zone"), first);
    backend.refresh();
    assertThat(backend.acceptsNewWork("first")).isFalse();

    view = viewOf(Set.of("elsewhere"), first);
    backend.refresh();
    assertThat(backend.acceptsNewWork("first")).isTrue();
    assertThat(backend.coldStarts().isCold(nowMillis + 2_999)).isTrue();
    assertThat(backend.coldStarts().isCold(nowMillis + 3_000)).isFalse();
  }

  @Test
  void anEntryWithAWarmupTimeMakesTheBackendColdOnce() {
    view = viewOf(Set.of(), entry("first", BackendEntry.State.READY));
    backend.refresh();
    assertThat(backend.coldStarts().isCold(nowMillis)).isFalse();

    view = viewOf(Set.of(), entry("first", BackendEntry.State.READY, 1_500));
    backend.refresh();
    assertThat(backend.coldStarts().isCold(nowMillis + 1_499)).isTrue();

    nowMillis += 1_500;
    backend.refresh();
    assertThat(backend.coldStarts().isCold(nowMillis)).isFalse();
  }

  /** The entry of a start that ended without notice stays listed until it expires. */
  @Test
  void backendIsColdOnceAlthoughTheEntryOfItsEarlierStartIsStillListed() {
    view =
        viewOf(
            Set.of(),
            entry("first", BackendEntry.State.READY),
            entry("second", BackendEntry.State.READY, 1_500));
    backend.refresh();
    assertThat(backend.coldStarts().isCold(nowMillis)).isTrue();

    nowMillis += 1_400;
    backend.refresh();
    nowMillis += 100;
    assertThat(backend.coldStarts().isCold(nowMillis)).isFalse();
  }

  /** A state transfer decodes all entries again. */
  @Test
  void sameEntryDecodedAgainDoesNotMakeTheBackendCold() {
    view = viewOf(Set.of(), entry("first", BackendEntry.State.READY, 1_500));
    backend.refresh();

    nowMillis += 1_500;
    view = viewOf(Set.of(), entry("first", BackendEntry.State.READY, 1_500));
    backend.refresh();
    assertThat(backend.coldStarts().isCold(nowMillis)).isFalse();
  }

  /** Another node may learn of a new start first and send requests to it. */
  @Test
  void aStartThatIsNotListedYetIsAssumedCold() {
    view = viewOf(Set.of(), entry("first", BackendEntry.State.READY));
    backend.refresh();

    assertThat(backend.acceptsNewWork("second")).isTrue();

    assertThat(backend.coldStarts().isCold(nowMillis)).isTrue();
  }
}
