package io.umberpath.lab.simulate;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.FleetState;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds what operators asked for and were told against what the register contains: each difference
 * between two committed states must be the effect of changes that appear in the later one, accepted
 * changes must be there, refused ones must not.
 */
final class ChangeLedger {
  private record ChangeKey(String answerKey, long fingerprint) {}

  private final ViolationLog violations;
  private final CommitHistory history;
  private final Map<ChangeKey, OperatorChange> changes = new HashMap<>();
  private final List<OperatorChange> accepted = new ArrayList<>();
  private FleetState newest = FleetState.EMPTY;

  ChangeLedger(ViolationLog violations, CommitHistory history) {
    this.violations = violations;
    this.history = history;
  }

  /** Notes one submission; equal changes are one change. */
  OperatorChange submitted(ChangeSet change, long nowNanos) {
    OperatorChange fresh = new OperatorChange(change, nowNanos);
    OperatorChange known =
        changes.computeIfAbsent(new ChangeKey(fresh.answerKey, fresh.fingerprint), key -> fresh);
    known.unanswered++;
    return known;
  }

  void answered(OperatorChange change, ChangeResult result) {
    if (result instanceof ChangeResult.Accepted acceptance) {
      change.unanswered--;
      noteAccepted(change, acceptance.version());
    } else if (result instanceof ChangeResult.Refused refusal) {
      change.unanswered--;
      noteRefused(change, refusal);
    }
  }

  /**
   * The version of an acceptance may be one that a leader proposed and a later leader committed
   * under its own epoch; the first committed version from there on must contain the change.
   */
  private void noteAccepted(OperatorChange change, Version version) {
    if (change.isAccepted() && !change.waived && !change.accepted.equals(version)) {
      violations.add(
          "repeat-answered-alike", change + " was accepted at " + change.accepted + ", " + version);
    }
    if (!change.isAccepted()) {
      accepted.add(change);
    }
    change.accepted = version;
    Map.Entry<Version, FleetState> first = history.states().ceilingEntry(version);
    if (first == null) {
      violations.add("accepted-is-committed", change + " accepted at uncommitted " + version);
      return;
    }
    FleetState state = first.getValue();
    FleetState.AnsweredChange entry = state.answered().get(change.answerKey).getOrNull();
    if (entry == null
        || entry.changeHash() != change.fingerprint
        || !entry.version().equals(version)) {
      violations.add("accepted-is-committed", change + " is not in " + state.version());
    }
  }

  private void noteRefused(OperatorChange change, ChangeResult.Refused refusal) {
    change.refused++;
    boolean decided =
        refusal.code() == ChangeResult.RefusalCode.INVALID
            || refusal.code() == ChangeResult.RefusalCode.CONFLICT;
    if (change.isCertainlyRefused() && !change.appeared.equals(Version.NONE) && !change.waived) {
      violations.add("refused-never-appears", change + " refused but in " + change.appeared);
    }
    if (decided && change.isAccepted() && !change.waived && isRemembered(change)) {
      violations.add("repeat-answered-alike", change + " was accepted, then " + refusal);
    }
  }

  private boolean isRemembered(OperatorChange change) {
    return newest.answered().containsKey(change.answerKey);
  }

  /** A version is newly known to be committed. */
  void committed(FleetState state) {
    if (!state.version().isAfter(newest.version())) {
      checkContained(state);
      return;
    }
    List<OperatorChange> appeared = appeared(state);
    checkDifferences(state, appeared);
    checkEffects(state, appeared);
    checkKept(state);
    newest = state;
  }

  /** An older version may be found out late; nothing of it may be missing from the newest. */
  private void checkContained(FleetState older) {
    older
        .answered()
        .forEach(
            (key, value) -> {
              if (!newest.answered().containsKey(key) && isWithinMemory(newest)) {
                violations.add(
                    "accepted-never-lost",
                    key + " of " + older.version() + " is not in the newest");
              }
            });
  }

  private static boolean isWithinMemory(FleetState state) {
    return state.answered().size() < Fleet.REMEMBERED_CHANGES / 2;
  }

  private List<OperatorChange> appeared(FleetState state) {
    List<OperatorChange> found = new ArrayList<>();
    state
        .answered()
        .forEach(
            (key, entry) -> {
              if (newest.answered().get(key).getOrNull() != entry) {
                note(state, key, entry, found);
              }
            });
    return found;
  }

  private void note(
      FleetState state, String key, FleetState.AnsweredChange entry, List<OperatorChange> found) {
    FleetState.AnsweredChange before = newest.answered().get(key).getOrNull();
    if (entry.equals(before)) {
      return;
    }
    OperatorChange change = changes.get(new ChangeKey(key, entry.changeHash()));
    if (change == null) {
      violations.add("only-submitted-changes", key + " in " + state.version() + " is nobody's");
      return;
    }
    if (before != null) {
      violations.add("one-run-per-request-id", key + " appears twice, at " + state.version());
    }
    if (change.isCertainlyRefused() && !change.waived) {
      violations.add("refused-never-appears", change + " refused but in " + state.version());
    }
    change.appeared = state.version();
    found.add(change);
  }

  private void checkDifferences(FleetState state, List<OperatorChange> appeared) {
    Set<Resource> upserts = new HashSet<>();
    Set<ResourceKey> deletes = new HashSet<>();
    Set<String> drains = new HashSet<>();
    for (OperatorChange each : appeared) {
      upserts.addAll(each.change.upserts());
      deletes.addAll(each.change.deletes());
      each.change.drains().forEach(drain -> drains.add(drain.backendId()));
    }
    state
        .resources()
        .forEach(
            (key, resource) -> {
              Resource before = newest.resources().get(key).getOrNull();
              if (before != resource && !resource.equals(before) && !upserts.contains(resource)) {
                violations.add("accepted-never-reverted", key + " changed at " + state.version());
              }
            });
    newest
        .resources()
        .keySet()
        .forEach(
            key -> {
              if (!state.resources().containsKey(key) && !deletes.contains(key)) {
                violations.add("accepted-never-lost", key + " vanished at " + state.version());
              }
            });
    for (String backend : state.drained().union(newest.drained())) {
      boolean changed = state.drained().contains(backend) != newest.drained().contains(backend);
      if (changed && !drains.contains(backend)) {
        violations.add("accepted-never-reverted", backend + " changed at " + state.version());
      }
    }
  }

  private void checkEffects(FleetState state, List<OperatorChange> appeared) {
    Map<ResourceKey, Integer> touched = new HashMap<>();
    Map<ResourceKey, Integer> expecting = new HashMap<>();
    for (OperatorChange each : appeared) {
      for (ResourceKey key : keys(each.change)) {
        touched.merge(key, 1, Integer::sum);
        if (each.change.expectedVersion().isPresent()) {
          expecting.merge(key, 1, Integer::sum);
        }
      }
    }
    for (OperatorChange each : appeared) {
      for (Resource upsert : each.change.upserts()) {
        boolean inForce = upsert.equals(state.resources().get(upsert.key()).getOrNull());
        if (!inForce && touched.get(upsert.key()) == 1) {
          violations.add(
              "accepted-is-committed", each + " lacks " + upsert.key() + " at " + state.version());
        }
      }
    }
    expecting.forEach(
        (key, count) -> {
          if (count > 1) {
            violations.add(
                "expected-version-holds",
                count + " changes of " + key + " expected one version, at " + state.version());
          }
        });
  }

  private static Set<ResourceKey> keys(ChangeSet change) {
    Set<ResourceKey> keys = new HashSet<>(change.deletes());
    change.upserts().forEach(resource -> keys.add(resource.key()));
    return keys;
  }

  private void checkKept(FleetState state) {
    if (!isWithinMemory(state)) {
      return;
    }
    newest
        .answered()
        .keySet()
        .forEach(
            key -> {
              if (!state.answered().containsKey(key)) {
                violations.add("accepted-never-lost", key + " vanished at " + state.version());
              }
            });
  }

  int acceptedCount() {
    return accepted.size();
  }

  /** Every holder of more than a version has died; what came after may be gone. */
  void lose(Version survivors, FleetState highest) {
    for (OperatorChange change : changes.values()) {
      if (change.accepted.isAfter(survivors) || change.appeared.isAfter(survivors)) {
        change.waived = true;
      }
    }
    newest = highest;
  }
}
