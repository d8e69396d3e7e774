package io.umberpath.control.store;

/**
 * Pauses after a watch returned changes: a few short ones when a burst begins, for example a
 * restart of many backends, then longer ones that batch the changes of the burst. The owner
 * synchronizes access.
 */
final class PollPauses {
  private int fastPolls;
  private long refilledMillis;

  /** Starts with all fast polls available. */
  PollPauses(StoreWatcherSettings settings) {
    this.fastPolls = settings.fastPolls();
  }

  /** Duration of the pause that begins now, milliseconds. */
  long next(long nowMillis, StoreWatcherSettings settings) {
    long refilled = (nowMillis - refilledMillis) / settings.fastPollRefillMillis();
    fastPolls = (int) Math.min(settings.fastPolls(), fastPolls + refilled);
    refilledMillis += refilled * settings.fastPollRefillMillis();
    if (fastPolls == 0) {
      return settings.pauseMillis();
    }
    fastPolls--;
    return settings.fastPollPauseMillis();
  }
}
