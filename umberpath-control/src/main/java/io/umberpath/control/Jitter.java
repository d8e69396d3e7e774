package io.umberpath.control;

import io.umberpath.model.Member;

/** Deterministic jitter: distributes nodes over an interval without a random source. */
final class Jitter {
  private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

  private Jitter() {}

  /**
   * A pseudo-random number that depends on the process and the attempt.
   *
   * @param bound exclusive upper bound; 0 is returned if it is not positive
   */
  static long of(Member member, long attempt, long bound) {
    if (bound <= 0) {
      return 0;
    }
    long hash = member.address().host().hashCode();
    hash = mix(hash + member.address().port());
    hash = mix(hash + member.incarnation());
    hash = mix(hash + attempt);
    return Long.remainderUnsigned(hash, bound);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 32)) * MULTIPLIER;
    mixed = (mixed ^ (mixed >>> 29)) * MULTIPLIER;
    return mixed ^ (mixed >>> 32);
  }
}
