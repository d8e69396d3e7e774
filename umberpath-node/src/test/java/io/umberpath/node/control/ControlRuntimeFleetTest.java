package io.umberpath.node.control;

import static io.umberpath.node.control.RuntimeFleet.await;
import static io.umberpath.node.control.RuntimeFleet.hasPool;
import static io.umberpath.node.control.RuntimeFleet.poolChange;
import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Version;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(240)
class ControlRuntimeFleetTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @Test
  void changeSubmittedToAFollowerBecomesActiveOnEveryNode() throws Exception {
    try (RuntimeFleet fleet = new RuntimeFleet(5)) {
      fleet.awaitFormed();
      Version accepted = submitAccepted(fleet.follower(), "first");
      fleet.awaitActive(accepted);
      assertThat(fleet.nodes)
          .allMatch(node -> node.runtime.snapshot().pools().containsKey("first"))
          .allMatch(node -> node.runtime.droppedMessages() == 0)
          .noneMatch(node -> node.nodeFailed.get());
    }
  }

  @Test
  void statusIsNeverOlderThanTheActiveSnapshot() throws Exception {
    try (RuntimeFleet fleet = new RuntimeFleet(3)) {
      fleet.awaitFormed();
      fleet.awaitActive(submitAccepted(fleet.follower(), "first"));
      assertThat(fleet.nodes).noneMatch(node -> node.statusLagged.get());
    }
  }

  @Test
  void leaderCrashKeepsOutcomesCorrectAndVersionsMonotonic() throws Exception {
    try (RuntimeFleet fleet = new RuntimeFleet(5)) {
      fleet.awaitFormed();
      Version first = submitAccepted(fleet.follower(), "first");
      fleet.awaitActive(first);
      RuntimeNode leader = fleet.leader();
      RuntimeNode follower = fleet.follower();
      Map<String, CompletableFuture<ChangeResult>> outcomes = new LinkedHashMap<>();
      IntStream.range(0, 30).forEach(n -> submit(outcomes, follower, "through-follower-" + n));
      IntStream.range(0, 30).forEach(n -> submit(outcomes, leader, "through-leader-" + n));
      outcomes.get("through-follower-0").get();
      IntStream.range(30, 60).forEach(n -> submit(outcomes, follower, "through-follower-" + n));
      leader.kill();
      fleet.nodes.remove(leader);
      CompletableFuture.allOf(outcomes.values().toArray(CompletableFuture[]::new)).get();

      Version last = submitAccepted(fleet.follower(), "last");
      fleet.awaitActive(last);
      outcomes.forEach(
          (name, outcome) -> assertOutcomeMatchesCommittedState(fleet, name, outcome.join()));

      fleet.nodes.add(leader);
      RuntimeNode restarted = fleet.restart(leader, 2_000);
      fleet.awaitActive(last);
      await("a seat", () -> restarted.status().self().slot() >= 0);
      Map<PeerAddress, List<ProxySnapshot>> activations = new HashMap<>();
      fleet.nodes.forEach(node -> activations.put(node.address, new ArrayList<>(node.activations)));
      activations.get(leader.address).addAll(0, leader.activations);
      RuntimeFleet.assertMonotonic(activations);
      assertThat(fleet.nodes).noneMatch(node -> node.nodeFailed.get());
    }
  }

  private static void assertOutcomeMatchesCommittedState(
      RuntimeFleet fleet, String name, ChangeResult outcome) {
    if (outcome instanceof ChangeResult.Accepted) {
      assertThat(fleet.nodes).as(name).allMatch(node -> hasPool(node, name));
    } else if (outcome instanceof ChangeResult.Refused) {
      assertThat(fleet.nodes).as(name).noneMatch(node -> hasPool(node, name));
    }
  }

  private static void submit(
      Map<String, CompletableFuture<ChangeResult>> outcomes, RuntimeNode node, String name) {
    outcomes.put(name, node.runtime.submit(poolChange(name), TIMEOUT).toCompletableFuture());
  }

  private static Version submitAccepted(RuntimeNode node, String name) throws Exception {
    ChangeResult result =
        node.runtime.submit(poolChange(name), TIMEOUT).toCompletableFuture().get();
    assertThat(result).isInstanceOf(ChangeResult.Accepted.class);
    return ((ChangeResult.Accepted) result).version();
  }

  @Test
  void changeWithoutQuorumIsRefused() throws IOException {
    try (RuntimeFleet fleet = new RuntimeFleet(3)) {
      fleet.awaitFormed();
      RuntimeNode survivor = fleet.follower();
      fleet.nodes.stream().filter(node -> node != survivor).forEach(RuntimeNode::kill);
      await("no leader heard", () -> refusesChange(survivor));
      assertThat(hasPool(survivor, "never")).isFalse();
    }
  }

  private static boolean refusesChange(RuntimeNode node) {
    return node.runtime
            .submit(poolChange("never"), Duration.ofSeconds(3))
            .toCompletableFuture()
            .join()
        instanceof ChangeResult.Refused;
  }

  @Test
  void closedRuntimeRefusesChanges() throws IOException {
    try (RuntimeFleet fleet = new RuntimeFleet(1)) {
      RuntimeNode node = fleet.nodes.get(0);
      node.runtime.close();
      ChangeResult result =
          node.runtime.submit(poolChange("late"), TIMEOUT).toCompletableFuture().join();
      assertThat(result).isInstanceOf(ChangeResult.Refused.class);
      assertThat(node.runtime.fleetView(TIMEOUT).toCompletableFuture().join()).isEmpty();
    }
  }
}
