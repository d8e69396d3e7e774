package io.umberpath.model;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.StateDelta.RosterBasis;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StateDeltaTest {
  private static final Pool POOL = new Pool("p1", "t1", Tier.BASIC, "booking", 6, 130);
  private static final Secret SECRET =
      new Secret("s1", "t1", Tier.BASIC, "opensesame".getBytes(StandardCharsets.US_ASCII));
  private static final Route ROUTE =
      new Route("r1", "t1", Tier.BASIC, "*", "/", "p1", Optional.of("s1"), Set.of("GET"), 1_000);

  private static StateDelta delta(
      FleetState base, List<Resource> upserts, List<ResourceKey> deletes, List<Member> added) {
    StateDelta draft =
        new StateDelta(
            base.version(),
            base.contentHash(),
            base.version().next(1),
            0,
            upserts,
            deletes,
            List.of(new ChangeSet.DrainChange("b1", true), new ChangeSet.DrainChange("b2", true)),
            List.of(),
            added,
            added.isEmpty() ? RosterBasis.SETTLED : RosterBasis.FROM_BASE,
            Optional.empty(),
            List.of(),
            List.of(),
            0);
    return draft.withTargetHash(StateDeltas.produce(draft, base).contentHash());
  }

  private static Member member(int slot) {
    return new Member(slot, new PeerAddress("127.0.0.1", 1_000 + slot), 7, "z1", "r1");
  }

  private static FleetState populated() {
    StateDelta delta =
        delta(FleetState.EMPTY, List.of(POOL, SECRET, ROUTE), List.of(), List.of(member(0)));
    return delta.applyTo(FleetState.EMPTY).get();
  }

  @Test
  void appliesADeltaAndTracksThePreviousRoster() {
    FleetState state = populated();
    assertThat(state.resources().keySet()).containsExactly(ROUTE.key(), POOL.key(), SECRET.key());
    assertThat(state.drained()).containsExactly("b1", "b2");
    assertThat(state.previousRoster()).isEqualTo(Roster.EMPTY);
    assertThat(state.changesRoster()).isTrue();
    assertThat(state.nextSlot()).isEqualTo(1);
    FleetState settled =
        delta(state, List.of(), List.of(SECRET.key()), List.of()).applyTo(state).get();
    assertThat(settled.changesRoster()).isFalse();
  }

  @Test
  void aFullStateTransferDoesNotReuseTheSlotOfAFormerMember() {
    FleetState first = populated();
    FleetState second = delta(first, List.of(), List.of(), List.of(member(1))).applyTo(first).get();
    StateDelta removal =
        new StateDelta(
            second.version(),
            second.contentHash(),
            second.version().next(1),
            0,
            List.of(),
            List.of(),
            List.of(),
            List.of(1),
            List.of(),
            RosterBasis.FROM_BASE,
            Optional.empty(),
            List.of(),
            List.of(),
            0);
    FleetState third = StateDeltas.produce(removal, second);
    assertThat(StateDeltas.wholeState(third).applyTo(FleetState.EMPTY).get().nextSlot())
        .isEqualTo(2);
  }

  @Test
  void rejectsAWrongBaseOrHashWithoutChangingTheState() {
    FleetState state = populated();
    StateDelta onEmpty = delta(FleetState.EMPTY, List.of(POOL), List.of(), List.of());
    StateDelta next = delta(state, List.of(POOL), List.of(ROUTE.key()), List.of());
    StateDelta corrupt = next.withTargetHash(next.targetHash() + 1);
    FleetState later = next.applyTo(state).get();
    assertThat(next.applyTo(later).getLeft().field()).isEqualTo("base");
    assertThat(corrupt.applyTo(state).getLeft().field()).isEqualTo("targetHash");
    assertThat(onEmpty.applyTo(state).get().resources()).hasSize(1);
    assertThat(state.resources()).hasSize(3);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aFullStateDeltaReproducesAnyHistory(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FleetState state = FleetState.EMPTY;
    for (int step = 0; step < 60; step++) {
      String name = "p" + random.nextInt(12);
      Pool pool = new Pool(name, "t", Tier.STANDARD, "service", 1 + random.nextInt(9), 130);
      boolean isDelete = random.nextInt(3) == 0;
      List<Member> added = random.nextInt(4) == 0 ? List.of(member(state.nextSlot())) : List.of();
      StateDelta delta =
          isDelete
              ? delta(state, List.of(), List.of(pool.key()), added)
              : delta(state, List.of(pool), List.of(), added);
      state = delta.applyTo(state).get();
    }
    FleetState copy = StateDeltas.wholeState(state).applyTo(FleetState.EMPTY).get();
    assertThat(copy).isEqualTo(state);
  }

  @Test
  void secretValuesAreRedacted() {
    assertThat(SECRET.toString()).doesNotContain("opensesame").contains("redacted");
    Secret invalid =
        new Secret("s1", "t1", Tier.BASIC, "open sesame".getBytes(StandardCharsets.US_ASCII));
    ChangeSet change =
        new ChangeSet(
            "c1", "t1", Tier.BASIC, Optional.empty(), List.of(invalid), List.of(), List.of());
    assertThat(ResourceValidator.violations(change))
        .singleElement()
        .asString()
        .contains("upserts[0].value")
        .doesNotContain("sesame");
  }
}
