package io.umberpath.node.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the fleet model through all short sequences of steps with two nodes, and through random long
 * ones with three. Steps are changes, restores of the store from older copies, calls and transfers
 * whose responses are late, lost or reordered, and restarts of nodes. {@code UMBERPATH_MODEL_WALKS}
 * sets the number of random sequences.
 */
final class StoreRestoreModelTest {
  private static final int EXHAUSTIVE_STEPS = 4;
  private static final int RANDOM_STEPS = 24;
  private static final int RANDOM_SEQUENCES =
      Integer.parseInt(System.getenv().getOrDefault("UMBERPATH_MODEL_WALKS", "3000"));

  private record Action(String name, Consumer<FleetModel> step) {}

  private static List<Action> actions(int nodes) {
    List<Action> actions = new ArrayList<>();
    actions.add(new Action("configure", FleetModel::writeConfiguration));
    actions.add(new Action("leave", FleetModel::drain));
    actions.add(new Action("replace", FleetModel::replace));
    actions.add(new Action("restore 1", fleet -> fleet.restore(1)));
    actions.add(new Action("restore 2", fleet -> fleet.restore(2)));
    actions.add(new Action("rewrite lost", FleetModel::rewriteLost));
    for (int node = 0; node < nodes; node++) {
      int index = node;
      actions.add(new Action("follow " + index, fleet -> fleet.readStoreFully(index)));
      actions.add(new Action("call " + index, fleet -> fleet.callStore(index)));
      actions.add(new Action("deliver " + index, fleet -> fleet.deliver(index, true)));
      for (int peer = 0; peer < nodes; peer++) {
        int other = peer;
        if (other != index) {
          actions.add(
              new Action("ask " + index + other, fleet -> fleet.requestTransfer(index, other)));
        }
      }
    }
    return actions;
  }

  private static List<Action> allActions(int nodes) {
    List<Action> actions = actions(nodes);
    actions.add(new Action("history", FleetModel::forgetHistory));
    actions.add(new Action("end next", FleetModel::endReplacement));
    for (int node = 0; node < nodes; node++) {
      int index = node;
      actions.add(new Action("deliver last " + index, fleet -> fleet.deliver(index, false)));
      actions.add(new Action("restart " + index, fleet -> fleet.restart(index)));
    }
    return actions;
  }

  private static void run(int nodes, List<Action> order) {
    FleetModel fleet = new FleetModel(nodes);
    try {
      order.forEach(action -> action.step().accept(fleet));
      fleet.assertConverged();
    } catch (RuntimeException | AssertionError failure) {
      throw new AssertionError(order.stream().map(Action::name).toList().toString(), failure);
    }
  }

  @Test
  void allShortSequencesKeepEveryFactAndConverge() {
    runAll(actions(2), new ArrayList<>());
  }

  private static void runAll(List<Action> actions, List<Action> prefix) {
    if (prefix.size() == EXHAUSTIVE_STEPS) {
      run(2, prefix);
      return;
    }
    for (Action action : actions) {
      prefix.add(action);
      runAll(actions, prefix);
      prefix.remove(prefix.size() - 1);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {90_801, 4_242})
  void randomLongSequencesKeepEveryFactAndConverge(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Action> actions = allActions(3);
    for (int sequence = 0; sequence < RANDOM_SEQUENCES; sequence++) {
      List<Action> order = new ArrayList<>();
      for (int step = 0; step < RANDOM_STEPS; step++) {
        order.add(actions.get(random.nextInt(actions.size())));
      }
      run(3, order);
    }
  }
}
