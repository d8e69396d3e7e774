package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LocalBackendTest {
  private static final PeerAddress ADDRESS = new PeerAddress("10.0.0.1", 8000);
  private static final MeshSettings SETTINGS =
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
          0,
          new MeshSettings.Retry(10_000, 0.2, 64),
          6_000,
          new HeaderNames("Id", "Deadline", "Expected", "Caller", "Not-Executed", "Instance"));

  private MeshView view = viewOf(entry("first", BackendEntry.State.READY));
  private String attested;
  private final LocalBackend backend =
      new LocalBackend(SETTINGS, () -> view, id -> id.equals(attested));

  private static BackendEntry entry(String id, BackendEntry.State state) {
    return new BackendEntry(id, "booking", ADDRESS, "zone", 6, state, 0);
  }

  private static MeshView viewOf(BackendEntry... entries) {
    return new MeshView(null, null, new BackendDirectory(List.of(entries)), 1);
  }

  /** The entry of a back end that was replaced stands in the store for some seconds more. */
  @Test
  void whatIsMeantForAStartThatHasEndedIsNotPassedOnThoughItsEntryStands() {
    assertThat(backend.takes("first")).isTrue();

    backend.isAnother("first", "second");

    assertThat(backend.takes("first")).isFalse();
    assertThat(backend.takes("second")).isTrue();
  }

  @Test
  void anAnswerOfTheStartThatWasAskedForEndsNothing() {
    backend.isAnother("first", "first");

    assertThat(backend.takes("first")).isTrue();
  }

  @Test
  void oneThatLeavesOrWasListedAndIsNoMoreTakesNothingNew() {
    backend.refresh();
    view = viewOf(entry("first", BackendEntry.State.DRAINING));
    assertThat(backend.takes("first")).isFalse();

    view = viewOf();
    assertThat(backend.takes("first")).isFalse();
    assertThat(backend.takes("not-listed-yet")).isTrue();
  }

  @Test
  void oneThatLivesAlthoughItsEntryHasLapsedTakesNewWork() {
    backend.refresh();
    view = viewOf();
    assertThat(backend.takes("first")).isFalse();

    attested = "first";
    assertThat(backend.takes("first")).isTrue();
  }

  @Test
  void aNodeThatStopsTakesNothingNew() {
    backend.leave();

    assertThat(backend.takes("first")).isFalse();
  }
}
