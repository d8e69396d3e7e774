package io.umberpath.traffic.requestid;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.umberpath.model.Verdict.Reason;
import io.umberpath.traffic.requestid.RequestIdClaim.Decision;
import io.umberpath.traffic.requestid.RequestIdClaim.Output;
import io.umberpath.traffic.requestid.RequestIdMessage.Outcome;
import io.umberpath.traffic.requestid.RequestIdMessage.Reply;
import io.umberpath.traffic.requestid.RequestIdMessage.State;
import io.umberpath.traffic.requestid.RequestIdTable.Entry;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestIdTableTest {
  private static final RequestIdSettings SETTINGS =
      new RequestIdSettings(3, 1_000, 100, 2, 10, 15, 50, 1_000);
  private static final RequestIdKey KEY = new RequestIdKey("p", "t", "id");

  private final RequestIdTable table = new RequestIdTable(SETTINGS);

  private static RequestIdKey key(String id) {
    return new RequestIdKey("p", "t", id);
  }

  private static Optional<StoredAnswer> answer(int bytes) {
    return Optional.of(new StoredAnswer(200, "", new byte[bytes]));
  }

  @ParameterizedTest
  @CsvSource({
    // how T ended, what a repeat U finds, what a late claim of T finds
    "NONE, InProgress T, InProgress T",
    "ANSWERED, Answered, Answered",
    "UNKNOWN, OutcomeUnknown, OutcomeUnknown",
    "NOT_RUN, InProgress U, InProgress U"
  })
  void aRepeatFindsHowTheFirstEnded(String outcome, String repeat, String late) {
    table.claim(0, KEY, "T", 500);
    if (!outcome.equals("NONE")) {
      table.settle(1, KEY, "T", Outcome.valueOf(outcome), answer(1));
    }
    assertThat(name(table.claim(2, KEY, "U", 500))).isEqualTo(repeat);
    assertThat(name(table.claim(3, KEY, "T", 500))).isEqualTo(late);
  }

  private static String name(Entry entry) {
    String token = entry instanceof Entry.InProgress held ? " " + held.token() : "";
    return entry.getClass().getSimpleName() + token;
  }

  @Test
  void aLateClaimOfAReleasedAttemptHoldsNothing() {
    table.settle(0, KEY, "T", Outcome.NOT_RUN, Optional.empty());
    assertThat(table.claim(1, KEY, "T", 500)).isEqualTo(new Entry.Released("T"));
    assertThat(name(table.claim(1, KEY, "U", 500))).isEqualTo("InProgress U");
    table.settle(2, KEY, "T", Outcome.NOT_RUN, Optional.empty());
    assertThat(name(table.find(2, KEY))).isEqualTo("InProgress U");
  }

  @Test
  void anAttemptWhoseCallerGaveUpCountsAsUnknownUntilSettled() {
    table.claim(0, KEY, "T", 100);
    assertThat(table.find(100, KEY)).isInstanceOf(Entry.InProgress.class);
    assertThat(table.find(101, KEY)).isEqualTo(new Entry.OutcomeUnknown("T"));
    table.settle(200, KEY, "T", Outcome.ANSWERED, answer(3));
    assertThat(table.find(201, KEY)).isInstanceOf(Entry.Answered.class);
  }

  @Test
  void aFullTableRefusesNewIdsAndForgetsNoneBeforeItsTime() {
    table.claim(0, key("a"), "T", 10);
    table.claim(500, key("b"), "T", 10);
    assertThat(table.claim(1_000, key("c"), "T", 10)).isInstanceOf(Entry.Full.class);
    assertThat(name(table.find(1_000, key("a")))).isEqualTo("OutcomeUnknown");
    assertThat(name(table.claim(1_001, key("c"), "T", 10))).isEqualTo("InProgress T");
    assertThat(table.find(1_001, key("a"))).isInstanceOf(Entry.Fresh.class);
    assertThat(table.size()).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({"10, 5, true, true", "10, 6, true, false", "11, 5, false, true"})
  void answersAreKeptWithinBothBounds(int first, int second, boolean firstKept, boolean otherKept) {
    table.settle(0, key("a"), "T", Outcome.ANSWERED, answer(first));
    table.settle(0, key("b"), "T", Outcome.ANSWERED, answer(second));
    assertThat(((Entry.Answered) table.find(1, key("a"))).answer().isPresent())
        .isEqualTo(firstKept);
    assertThat(((Entry.Answered) table.find(1, key("b"))).answer().isPresent())
        .isEqualTo(otherKept);
    table.settle(1_001, key("c"), "T", Outcome.ANSWERED, answer(10));
    assertThat(((Entry.Answered) table.find(1_001, key("c"))).answer()).isPresent();
  }

  @ParameterizedTest
  @CsvSource({
    // replies of three registrars, decision
    "FULL FULL FULL, NotRun OVERLOADED",
    "GRANTED FULL FULL, NotRun OVERLOADED",
    "ABSTAINED FULL FULL, NotRun OVERLOADED",
    "ABSTAINED ABSTAINED GRANTED, MayHaveRun NOT_READY",
    "ABSTAINED ABSTAINED FULL, MayHaveRun NOT_READY",
    "UNKNOWN, MayHaveRun DUPLICATE",
    "ANSWERED, MayHaveRun DUPLICATE",
    "GRANTED GRANTED, Run ",
    "GRANTED HELD GRANTED, Run "
  })
  void aClaimDecidesByItsReplies(String states, String expected) {
    RequestIdClaim claim = new RequestIdClaim(SETTINGS, KEY, "T", List.of("0", "1", "2"), 10_000);
    claim.start(0);
    Decision decision = null;
    String[] names = states.split(" ");
    for (int i = 0; i < names.length; i++) {
      Reply reply =
          new Reply(KEY, "T.0", State.valueOf(names[i]), Optional.of("S"), Optional.empty());
      for (Output output : claim.replied(i, "" + i, reply)) {
        decision = output instanceof Output.Decided decided ? decided.decision() : decision;
      }
    }
    Decision wanted =
        switch (expected.split(" ")[0]) {
          case "NotRun" -> new Decision.NotRun(Reason.OVERLOADED);
          case "MayHaveRun" -> new Decision.MayHaveRun(Reason.valueOf(expected.split(" ")[1]));
          default -> new Decision.Run();
        };
    assertThat(decision).isEqualTo(wanted);
  }

  /** Without this a registrar that missed the claim would free an id that ran. */
  @Test
  void aLateGrantAfterTheRunIsSettledAsRun() {
    RequestIdClaim claim = new RequestIdClaim(SETTINGS, KEY, "T", List.of("0", "1", "2"), 10_000);
    claim.start(0);
    Reply granted = new Reply(KEY, "T.0", State.GRANTED, Optional.of("T.0"), Optional.empty());
    claim.replied(1, "0", granted);
    claim.replied(1, "1", granted);
    claim.ended(Outcome.ANSWERED, answer(1));
    assertThat(claim.replied(2, "2", granted))
        .containsExactly(
            new Output.Send(
                "2", new RequestIdMessage.Settle(KEY, "T.0", Outcome.ANSWERED, answer(1))));
  }

  @Test
  void settingsNameFieldAndValue() {
    assertThatThrownBy(() -> new RequestIdSettings(3, 100, 100, 2, 10, 15, 50, 1_000))
        .hasMessageContaining("retentionMillis is 100");
  }
}
