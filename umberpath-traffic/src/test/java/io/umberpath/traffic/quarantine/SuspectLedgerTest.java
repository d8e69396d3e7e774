package io.umberpath.traffic.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.routing.BackendStart;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class SuspectLedgerTest {
  private static final long MINUTE_MILLIS = 60_000;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;
  private static final RequestFingerprint CRASHING = request(1);
  private static final RequestFingerprint HARMLESS = request(2);

  private final SuspectLedger ledger = new SuspectLedger(3);
  private long now = 1_000_000;

  private static RequestFingerprint request(long number) {
    return new RequestFingerprint(number * 0x9e3779b97f4a7c15L, number);
  }

  private List<Suspicion> recordCrash(String backend, RequestFingerprint... running) {
    return recordCrash(new BackendStart(backend, 0), running);
  }

  private List<Suspicion> recordCrash(BackendStart start, RequestFingerprint... running) {
    return ledger.ended(now, start, List.of(running));
  }

  private void quarantineCrashingRequest() {
    recordCrash("b-1", CRASHING);
    recordCrash("b-2", CRASHING);
    recordCrash("b-3", CRASHING);
    assertThat(ledger.isHeld(CRASHING)).isTrue();
  }

  @Test
  void aRequestIsQuarantinedAfterThreeCrashes() {
    recordCrash("b-1", CRASHING, HARMLESS);
    recordCrash("b-2", CRASHING, request(3));
    assertThat(ledger.isHeld(CRASHING)).isFalse();
    assertThat(ledger.heldTargets()).isEmpty();

    recordCrash("b-3", CRASHING, request(4));

    assertThat(ledger.isHeld(CRASHING)).isTrue();
    assertThat(ledger.isHeld(HARMLESS)).isFalse();
    assertThat(ledger.heldTargets()).containsExactly(CRASHING.target());
  }

  @Test
  void aCrashReportedTwiceCountsOnce() {
    List<Suspicion> reports = recordCrash("b-1", CRASHING);
    recordCrash("b-1", CRASHING);
    reports.forEach(each -> assertThat(ledger.take(now, each)).isEmpty());

    assertThat(ledger.weight(CRASHING)).isEqualTo(1);
  }

  @Test
  void threeStartsWithOneIdAreThreeCrashes() {
    for (long startTime = 1; startTime <= 3; startTime++) {
      assertThat(ledger.isHeld(CRASHING)).isFalse();
      recordCrash(new BackendStart("b-1", startTime), CRASHING);
    }

    assertThat(ledger.isHeld(CRASHING)).isTrue();
  }

  @Test
  void aRequestThatSucceedsAfterwardsIsCleared() {
    recordCrash("b-1", CRASHING, HARMLESS);
    recordCrash("b-2", CRASHING, HARMLESS);
    assertThat(ledger.succeeded(now + 100, HARMLESS)).isPresent();
    recordCrash("b-3", CRASHING, HARMLESS);

    assertThat(ledger.isHeld(CRASHING)).isTrue();
    assertThat(ledger.isHeld(HARMLESS)).isFalse();
  }

  @Test
  void aPopularRequestThatCrashesAlongsideIsNotQuarantined() {
    ledger.succeeded(now - 5_000, HARMLESS);
    recordCrash("b-1", CRASHING, HARMLESS);
    recordCrash("b-2", CRASHING, HARMLESS);
    recordCrash("b-3", CRASHING, HARMLESS);

    assertThat(ledger.isHeld(CRASHING)).isTrue();
    assertThat(ledger.isHeld(HARMLESS)).isFalse();
  }

  @Test
  void anOldSuccessDoesNotPreventQuarantine() {
    ledger.succeeded(now - MINUTE_MILLIS, CRASHING);

    quarantineCrashingRequest();
  }

  /** Reports between nodes are lost, repeated and reordered. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void nodesConvergeWhateverTheOrderOfReports(long seed) {
    Random random = new Random(seed);
    List<Suspicion> reports = new ArrayList<>();
    SuspectLedger source = new SuspectLedger(3);
    for (int crash = 0; crash < 20; crash++) {
      List<RequestFingerprint> running =
          List.of(CRASHING, request(random.nextInt(9)), request(random.nextInt(9)));
      reports.addAll(source.ended(now + crash, new BackendStart("b-" + crash, 0), running));
      source.succeeded(now + crash, request(random.nextInt(2, 9))).ifPresent(reports::add);
    }
    reports.addAll(reports.subList(0, 10));
    Collections.shuffle(reports, random);

    reports.forEach(each -> ledger.take(now, each));

    assertThat(ledger.digest()).isEqualTo(source.digest()).isNotZero();
    assertThat(ledger.heldTargets()).isEqualTo(source.heldTargets());
  }

  @Test
  void aNewNodeCopiesTheStateOfAnother() {
    quarantineCrashingRequest();
    SuspectLedger newNode = new SuspectLedger(3);
    assertThat(newNode.digest()).isZero();
    // Past the time for which a single crash is remembered.
    now += 20 * MINUTE_MILLIS;

    ledger.all().forEach(each -> newNode.take(now, each));

    assertThat(newNode.isHeld(CRASHING)).isTrue();
    assertThat(newNode.digest()).isEqualTo(ledger.digest());
  }

  @Test
  void aNodeThatSawASuccessClearsAReportedSuspect() {
    recordCrash("b-1", HARMLESS);
    List<Suspicion> second = recordCrash("b-2", HARMLESS);
    SuspectLedger other = new SuspectLedger(3);
    ledger.all().forEach(each -> other.take(now, each));
    SuspectLedger gate = new SuspectLedger(3);
    gate.succeeded(now - 1_000, HARMLESS);

    List<Suspicion> first = gate.take(now, other.all().get(0));

    assertThat(first).hasSize(2);
    other.take(now, first.get(1));
    assertThat(other.weight(HARMLESS)).isZero();
    // A late report does not undo the clearing.
    second.forEach(each -> other.take(now, each));
    assertThat(other.weight(HARMLESS)).isZero();
  }

  @Test
  void aSingleCrashExpiresAfterTenMinutesAndAQuarantineAfterADay() {
    recordCrash("b-0", HARMLESS);
    quarantineCrashingRequest();

    ledger.forget(now + 11 * MINUTE_MILLIS);
    assertThat(ledger.size()).isEqualTo(1);
    ledger.forget(now + 23 * HOUR_MILLIS);
    assertThat(ledger.isHeld(CRASHING)).isTrue();
    ledger.forget(now + 25 * HOUR_MILLIS);
    assertThat(ledger.size()).isZero();
    assertThat(ledger.digest()).isZero();
  }

  @Test
  void aQuarantinedRequestIsTriedAgainAtMostThreeTimes() {
    quarantineCrashingRequest();
    int trials = 0;
    for (long endMillis = now + 20 * HOUR_MILLIS; now < endMillis; now += MINUTE_MILLIS / 2) {
      if (ledger.isTrialDue(now, CRASHING)) {
        trials++;
        ledger.beginTrial(now, CRASHING);
        assertThat(ledger.isTrialDue(now, CRASHING)).isFalse();
        recordCrash("trial-" + trials, CRASHING);
      }
    }

    assertThat(trials).isEqualTo(3);
    assertThat(ledger.isHeld(CRASHING)).isTrue();
  }

  @Test
  void nearlySimultaneousCrashesAreNotFailedTrials() {
    for (int backend = 0; backend < 10; backend++) {
      now += 100;
      recordCrash("b-" + backend, CRASHING);
    }

    assertThat(ledger.isTrialDue(now + MINUTE_MILLIS - 1, CRASHING)).isFalse();
    assertThat(ledger.isTrialDue(now + MINUTE_MILLIS, CRASHING)).isTrue();
  }

  @Test
  void aSuccessfulTrialReleasesTheRequest() {
    quarantineCrashingRequest();
    now += MINUTE_MILLIS;

    assertThat(ledger.succeeded(now, CRASHING)).isPresent();

    assertThat(ledger.isHeld(CRASHING)).isFalse();
    assertThat(ledger.heldTargets()).isEmpty();
  }

  @Test
  void theNumberOfSuspectsIsBoundedAndQuarantinedOnesAreKept() {
    quarantineCrashingRequest();
    for (int crash = 0; crash < 1_000; crash++) {
      now += 10;
      recordCrash("b-" + crash, request(1_000 + 2 * crash), request(1_001 + 2 * crash));
    }

    assertThat(ledger.size()).isBetween(896, 1_024);
    assertThat(ledger.isHeld(CRASHING)).isTrue();
    ledger.forget(now + 11 * MINUTE_MILLIS);
    assertThat(ledger.size()).isEqualTo(1);
  }
}
