package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.membership.ReportSchedule;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class PeerViewTest {
  private static final Map<String, String> ZONES = Map.of("a", "own", "b", "own", "c", "other");

  private static PeerView view(Set<String> others, Set<String> silent) {
    return PeerView.of(others, silent, "own", host -> Optional.ofNullable(ZONES.get(host)));
  }

  @Test
  void nodeOfUnknownZoneGetsReportsButNoZoneTasks() {
    PeerView view = view(Set.of("a", "b", "c", "unplaced"), Set.of("b"));

    assertThat(view.near()).containsExactlyInAnyOrder("a", "b", "unplaced");
    assertThat(view.reachableNear()).containsExactlyInAnyOrder("a", "unplaced");
    assertThat(view.reachableInZone()).containsExactly("a");
    assertThat(view.zones()).isEqualTo(2);
  }

  /** A zone once left its digests to nodes of unknown zone, which every zone took for its own. */
  @Test
  void nodesOfUnknownZoneAreNotDelegates() {
    Set<String> unplaced = Set.of("u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8");
    PeerView view = view(Set.of("c", "u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"), Set.of());
    ReportSchedule schedule = new ReportSchedule("self");

    long digests = 0;
    for (int round = 0; round < ReportSchedule.ROUNDS_PER_DIGEST; round++) {
      List<String> digestTo =
          schedule.next(view.near(), view.farByZone(), view.ineligible(), Set.of()).digestTo();
      digests += digestTo.size();
    }

    assertThat(view.near()).containsAll(unplaced);
    assertThat(digests).isEqualTo(1);
  }
}
