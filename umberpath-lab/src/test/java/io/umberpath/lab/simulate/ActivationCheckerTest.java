package io.umberpath.lab.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.FleetState;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Roster;
import io.umberpath.model.Route;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ActivationCheckerTest {
  private static final Version FIRST = new Version(1, 1);
  private static final Version SECOND = new Version(1, 2);

  private final ViolationLog violations = new ViolationLog(new EventQueue());
  private final CommitHistory history = new CommitHistory(violations, true);
  private final ActivationChecker checker = new ActivationChecker(violations, history);
  private final List<SimulatedNode> nodes = List.of(node(0), node(1), node(2));

  @Test
  void acceptsWhatAQuorumHeld() {
    commit(FIRST, 2);
    checker.check(nodes.get(0), snapshot(FIRST, 1, List.of()));

    assertThat(violations.found()).isEmpty();
  }

  @Test
  void catchesACommitWithoutQuorum() {
    commit(FIRST, 1);

    assertThat(names()).contains("committed-by-quorum");
  }

  @Test
  void catchesAnUncommittedVersion() {
    checker.check(nodes.get(0), snapshot(FIRST, 1, List.of()));

    assertThat(names()).containsExactly("activates-committed-only");
  }

  @Test
  void catchesAnOlderVersionAfterARestart() {
    commit(FIRST, 3);
    commit(SECOND, 3);
    checker.check(nodes.get(0), snapshot(SECOND, 1, List.of()));
    nodes.get(0).incarnation++;
    checker.check(nodes.get(0), snapshot(FIRST, 1, List.of()));

    assertThat(names()).containsExactly("never-back");
  }

  @Test
  void catchesAnOlderRevision() {
    commit(FIRST, 3);
    checker.check(nodes.get(0), snapshot(FIRST, 2, List.of()));
    checker.check(nodes.get(0), snapshot(FIRST, 1, List.of()));

    assertThat(names()).containsExactly("never-back");
  }

  @Test
  void catchesADanglingRoute() {
    commit(FIRST, 3);
    checker.check(nodes.get(0), snapshot(FIRST, 1, List.of(route("pool"))));

    assertThat(names()).containsExactly("no-dangling-route");
  }

  @Test
  void catchesTwoValuesOfOneVersion() {
    commit(FIRST, 3);
    checker.check(nodes.get(0), snapshot(FIRST, 1, List.of()));
    checker.check(nodes.get(1), snapshot(FIRST, 1, List.of(route("pool"))));

    assertThat(names()).containsExactly("one-value-per-version");
  }

  private List<String> names() {
    return violations.found().stream().map(InvariantViolation::invariant).distinct().toList();
  }

  private void commit(Version version, int holders) {
    nodes.stream().limit(holders).forEach(node -> history.held(node, version));
    Roster roster =
        new Roster(nodes.stream().map(node -> node.member().withSlot(node.index)).toList());
    history.believed(
        nodes.get(0),
        new FleetState(
            version,
            TreeMap.empty(),
            TreeSet.empty(),
            roster,
            roster,
            3,
            LinkedHashMap.empty(),
            version.sequence()));
  }

  private static SimulatedNode node(int index) {
    PeerAddress address = new PeerAddress("10.0.0." + index, 7_000);
    return new SimulatedNode(index, address, "zone", 0, "region");
  }

  private static ProxySnapshot snapshot(Version version, long revision, List<Route> routes) {
    return new ProxySnapshot(version, revision, routes, Map.of(), Map.of());
  }

  private static Route route(String pool) {
    return new Route(
        "route", "tenant", Tier.BASIC, "*", "/", pool, Optional.empty(), Set.of(), 1_000);
  }
}
