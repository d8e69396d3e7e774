package io.umberpath.traffic.requestid;

import io.umberpath.traffic.Settings;

/**
 * Limits of the request-id register; equal on every node of a fleet.
 *
 * @param groupSize registrars of one group; fixed, for quorums of successive groups must intersect
 * @param retentionMillis time a registrar remembers an id; also the time a new registrar abstains,
 *     milliseconds
 * @param freshMillis time after which a registrar that has not heard from the fleet abstains,
 *     milliseconds, less than the retention
 * @param maxIds ids one registrar remembers; a new id beyond is refused, none is forgotten early
 * @param maxAnswerBytes largest answer that is kept for repeats
 * @param maxTotalAnswerBytes answers kept by one registrar in all; beyond, only the fact is kept
 * @param pollMillis interval at which a claim asks again, milliseconds
 * @param claimMillis time in which a quorum must reply, milliseconds
 */
public record RequestIdSettings(
    int groupSize,
    long retentionMillis,
    long freshMillis,
    int maxIds,
    int maxAnswerBytes,
    long maxTotalAnswerBytes,
    long pollMillis,
    long claimMillis) {
  /**
   * 5 registrars, 10 minutes, 10 seconds, 100,000 ids, answers up to 4 KiB and 32 MiB in all,
   * asking again after 50 ms, giving up a silent group after 1 s.
   */
  public static final RequestIdSettings DEFAULT =
      new RequestIdSettings(5, 600_000, 10_000, 100_000, 4_096, 32L << 20, 50, 1_000);

  /** Checks the limits; the error names field and value. */
  public RequestIdSettings {
    Settings.atLeast("groupSize", groupSize, 1);
    Settings.atLeast("freshMillis", freshMillis, 1);
    Settings.atLeast("retentionMillis", retentionMillis, freshMillis + 1);
    Settings.atLeast("maxIds", maxIds, 1);
    Settings.atLeast("maxAnswerBytes", maxAnswerBytes, 0);
    Settings.atLeast("maxTotalAnswerBytes", maxTotalAnswerBytes, 0);
    Settings.atLeast("pollMillis", pollMillis, 1);
    Settings.atLeast("claimMillis", claimMillis, 1);
  }

  /** Registrars that must grant a claim; two quorums of one group share a member. */
  public int quorum() {
    return groupSize / 2 + 1;
  }

  /**
   * Time after the first claim of an id within which a repeat certainly does not run a second time,
   * milliseconds.
   */
  public long promisedMillis() {
    return retentionMillis - freshMillis;
  }
}
