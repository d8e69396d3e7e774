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

final class SuspectRegistryTest {
  private static final long MINUTE_MILLIS = 60_000;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;
  private static final RequestFingerprint CRASHING = request(1);
  private static final RequestFingerprint HARMLESS = request(2);

  private final SuspectRegistry registry = new SuspectRegistry(3);
  private long now = 1_000_000;

  private static RequestFingerprint request(long number) {
    return new RequestFingerprint(number * 0x9e3779b97f4a7c15L, number);
  }

  private List<SuspectReport> recordCrash(String backend, RequestFingerprint... running) {
    return recordCrash(new BackendStart(backend, 0), running);
  }

  private List<SuspectReport> recordCrash(BackendStart start, RequestFingerprint... running) {
    return registry.recordCrash(now, start, List.of(running));
  }

  private void quarantineCrashingRequest() {
    recordCrash("b-1", CRASHING);
    recordCrash("b-2", CRASHING);
    recordCrash("b-3", CRASHING);
    assertThat(registry.isQuarantined(CRASHING)).isTrue();
  }

  @Test
  void aRequestIsQuarantinedAfterThreeCrashes() {
    recordCrash("b-1", CRASHING, HARMLESS);
    recordCrash("b-2", CRASHING, request(3));
    assertThat(registry.isQuarantined(CRASHING)).isFalse();
    assertThat(registry.quarantinedTargets()).isEmpty();

    recordCrash("b-3", CRASHING, request(4));

    assertThat(registry.isQuarantined(CRASHING)).isTrue();
    assertThat(registry.isQuarantined(HARMLESS)).isFalse();
    assertThat(registry.quarantinedTargets()).containsExactly(CRASHING.target());
  }

  @Test
  void aCrashReportedTwiceCountsOnce() {
    List<SuspectReport> reports = recordCrash("b-1", CRASHING);
    recordCrash("b-1", CRASHING);
    reports.forEach(each -> assertThat(registry.merge(now, each)).isEmpty());

    assertThat(registry.crashCount(CRASHING)).isEqualTo(1);
  }

  @Test
  void threeStartsWithOneIdAreThreeCrashes() {
    for (long startTime = 1; startTime <= 3; startTime++) {
      assertThat(registry.isQuarantined(CRASHING)).isFalse();
      recordCrash(new BackendStart("b-1", startTime), CRASHING);
    }

    assertThat(registry.isQuarantined(CRASHING)).isTrue();
  }

  @Test
  void aRequestThatSucceedsAfterwardsIsCleared() {
    recordCrash("b-1", CRASHING, HARMLESS);
    recordCrash("b-2", CRASHING, HARMLESS);
    assertThat(registry.recordSuccess(now + 100, HARMLESS)).isPresent();
    recordCrash("b-3", CRASHING, HARMLESS);

    assertThat(registry.isQuarantined(CRASHING)).isTrue();
    assertThat(registry.isQuarantined(HARMLESS)).isFalse();
  }

  @Test
  void aPopularRequestThatCrashesAlongsideIsNotQuarantined() {
    registry.recordSuccess(now - 5_000, HARMLESS);
    recordCrash("b-1", CRASHING, HARMLESS);
    recordCrash("b-2", CRASHING, HARMLESS);
    recordCrash("b-3", CRASHING, HARMLESS);

    assertThat(registry.isQuarantined(CRASHING)).isTrue();
    assertThat(registry.isQuarantined(HARMLESS)).isFalse();
  }

  @Test
  void anOldSuccessDoesNotPreventQuarantine() {
    registry.recordSuccess(now - MINUTE_MILLIS, CRASHING);

    quarantineCrashingRequest();
  }

  /** Reports between nodes are lost, repeated and reordered. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void nodesConvergeWhateverTheOrderOfReports(long seed) {
    Random random = new Random(seed);
    List<SuspectReport> reports = new ArrayList<>();
    SuspectRegistry source = new SuspectRegistry(3);
    for (int crash = 0; crash < 20; crash++) {
      List<RequestFingerprint> running =
          List.of(CRASHING, request(random.nextInt(9)), request(random.nextInt(9)));
      reports.addAll(source.recordCrash(now + crash, new BackendStart("b-" + crash, 0), running));
      source.recordSuccess(now + crash, request(random.nextInt(2, 9))).ifPresent(reports::add);
    }
    reports.addAll(reports.subList(0, 10));
    Collections.shuffle(reports, random);

    reports.forEach(each -> registry.merge(now, each));

    assertThat(registry.digest()).isEqualTo(source.digest()).isNotZero();
    assertThat(registry.quarantinedTargets()).isEqualTo(source.quarantinedTargets());
  }

  @Test
  void aNewNodeCopiesTheStateOfAnother() {
    quarantineCrashingRequest();
    SuspectRegistry newNode = new SuspectRegistry(3);
    assertThat(newNode.digest()).isZero();
    // Past the time for which a single crash is remembered.
    now += 20 * MINUTE_MILLIS;

    registry.snapshot().forEach(each -> newNode.merge(now, each));

    assertThat(newNode.isQuarantined(CRASHING)).isTrue();
    assertThat(newNode.digest()).isEqualTo(registry.digest());
  }

  @Test
  void aNodeThatSawASuccessClearsAReportedSuspect() {
    recordCrash("b-1", HARMLESS);
    List<SuspectReport> second = recordCrash("b-2", HARMLESS);
    SuspectRegistry other = new SuspectRegistry(3);
    registry.snapshot().forEach(each -> other.merge(now, each));
    SuspectRegistry receiver = new SuspectRegistry(3);
    receiver.recordSuccess(now - 1_000, HARMLESS);

    List<SuspectReport> first = receiver.merge(now, other.snapshot().get(0));

    assertThat(first).hasSize(2);
    other.merge(now, first.get(1));
    assertThat(other.crashCount(HARMLESS)).isZero();
    // A late report does not undo the clearing.
    second.forEach(each -> other.merge(now, each));
    assertThat(other.crashCount(HARMLESS)).isZero();
  }

  @Test
  void aSingleCrashExpiresAfterTenMinutesAndAQuarantineAfterADay() {
    recordCrash("b-0", HARMLESS);
    quarantineCrashingRequest();

    registry.removeExpired(now + 11 * MINUTE_MILLIS);
    assertThat(registry.size()).isEqualTo(1);
    registry.removeExpired(now + 23 * HOUR_MILLIS);
    assertThat(registry.isQuarantined(CRASHING)).isTrue();
    registry.removeExpired(now + 25 * HOUR_MILLIS);
    assertThat(registry.size()).isZero();
    assertThat(registry.digest()).isZero();
  }

  @Test
  void aQuarantinedRequestIsTriedAgainAtMostThreeTimes() {
    quarantineCrashingRequest();
    int trials = 0;
    for (long endMillis = now + 20 * HOUR_MILLIS; now < endMillis; now += MINUTE_MILLIS / 2) {
      if (registry.isTrialDue(now, CRASHING)) {
        trials++;
        registry.beginTrial(now, CRASHING);
        assertThat(registry.isTrialDue(now, CRASHING)).isFalse();
        recordCrash("trial-" + trials, CRASHING);
      }
    }

    assertThat(trials).isEqualTo(3);
    assertThat(registry.isQuarantined(CRASHING)).isTrue();
  }

  @Test
  void nearlySimultaneousCrashesAreNotFailedTrials() {
    for (int backend = 0; backend < 10; backend++) {
      now += 100;
      recordCrash("b-" + backend, CRASHING);
    }

    assertThat(registry.isTrialDue(now + MINUTE_MILLIS - 1, CRASHING)).isFalse();
    assertThat(registry.isTrialDue(now + MINUTE_MILLIS, CRASHING)).isTrue();
  }

  @Test
  void aSuccessfulTrialReleasesTheRequest() {
    quarantineCrashingRequest();
    now += MINUTE_MILLIS;

    assertThat(registry.recordSuccess(now, CRASHING)).isPresent();

    assertThat(registry.isQuarantined(CRASHING)).isFalse();
    assertThat(registry.quarantinedTargets()).isEmpty();
  }

  @Test
  void theNumberOfSuspectsIsBoundedAndQuarantinedOnesAreKept() {
    quarantineCrashingRequest();
    for (int crash = 0; crash < 1_000; crash++) {
      now += 10;
      recordCrash("b-" + crash, request(1_000 + 2 * crash), request(1_001 + 2 * crash));
    }

    assertThat(registry.size()).isBetween(896, 1_024);
    assertThat(registry.isQuarantined(CRASHING)).isTrue();
    registry.removeExpired(now + 11 * MINUTE_MILLIS);
    assertThat(registry.size()).isEqualTo(1);
  }
}
